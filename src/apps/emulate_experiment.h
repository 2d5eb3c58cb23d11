// Hypotheses tried on the emulated world: arms side by side, on the same seeds.

#ifndef CASSIAFERRY_SRC_APPS_EMULATE_EXPERIMENT_H_
#define CASSIAFERRY_SRC_APPS_EMULATE_EXPERIMENT_H_

#include <string>

namespace cassiaferry {

// Plays the file's arms at its loads on its seeds, several at a time, and
// prints a row for each arm and load: median, least and most value, and the
// share of each queue's jobs in time. Each play is a line of "FILE.csv", data
// for a chart. Returns the process's exit code; a file that can't be used ends
// it with a message.
int PlayExperiment(const std::string& path);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_EMULATE_EXPERIMENT_H_
