export default {
  files: ['dist/**/*.test.js', 'target/platform/**/*.test.js'],
  timeout: '2m',
  concurrency: 4,
  workerThreads: false,
  nodeArguments: ['--enable-source-maps'],
};
