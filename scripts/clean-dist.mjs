/** Removes the build, so that tests of deleted sources never run. */
import { rmSync } from 'node:fs';

rmSync('dist', { recursive: true, force: true });
rmSync('target', { recursive: true, force: true });
