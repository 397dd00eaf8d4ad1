/** Removes the build output, so that compiled tests of deleted sources do not run. */
import { rmSync } from 'node:fs';

rmSync('dist', { recursive: true, force: true });
rmSync('target', { recursive: true, force: true });
