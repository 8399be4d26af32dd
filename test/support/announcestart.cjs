// Prints a line at each listener for the stop signal, so that a test knows when the launcher has begun.
const { on } = process;
process.on = function announce(signal, listener) {
  const result = on.call(process, signal, listener);
  if (signal === 'SIGTERM') process.stdout.write('listening\n');
  return result;
};
