// Child processes of the demo and the tests: started, told to stop, and ended
// by pid. No process of the product itself starts another.

#ifndef CASSIAFERRY_SRC_APPS_CHILD_H_
#define CASSIAFERRY_SRC_APPS_CHILD_H_

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace cassiaferry {

struct child {
  pid_t pid = 0;
  std::vector<std::string> command;
  nlohmann::json
      ready;  // the line that it printed once it served; null: it ended before
};

// Starts a program and waits for its ready line. Its logs go to `log_file`;
// empty: to this process's own.
child StartChild(std::vector<std::string> command, const std::string& log_file);

void SignalChild(const child& c, int signal);

// Waits for the end, at most `seconds`, then kills. Returns the exit code, or
// minus the number of the signal that ended it.
int WaitChild(const child& c, int seconds);

// Folder of the running program, where its siblings are.
std::string ProgramFolder();

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_CHILD_H_
