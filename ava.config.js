export default {
  files: ['dist/**/*.test.js', 'target/platform/**/*.test.js'],
  timeout: '2m',
  concurrency: 4,
  // The runtime can spin for ever as it ends a worker thread whose connections were reset.
  workerThreads: false,
  nodeArguments: ['--enable-source-maps'],
};
