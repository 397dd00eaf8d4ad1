/** Limits of what peers send each other. */

/** Size of one message, far above those of the largest fleet. */
export const MESSAGE_BYTES_MAX = 16 * 1024 * 1024;
