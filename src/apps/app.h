// What every binary shares: flags, settings, logs, signals, exit codes.

#ifndef CASSIAFERRY_SRC_APPS_APP_H_
#define CASSIAFERRY_SRC_APPS_APP_H_

#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "../net/http_server.h"
#include "cassiaferry/config.h"
#include "cassiaferry/ids.h"

namespace cassiaferry {

constexpr char kVersion[] = "0.1.0";

// Exit codes, the same for every binary. docs/OPERATIONS.md lists them.
enum exit_code {
  kExitOk = 0,
  kExitFailed = 1,      // the work asked for was not done
  kExitBadInput = 2,    // flags, settings or files are wrong
  kExitCantListen = 3,  // an address can't be had
  kExitForced = 4,      // a second signal came before the drain had ended
};

// Flags (--help, --version), logs to stderr, broken pipes ignored.
void InitApp(const char* usage, int* argc, char*** argv);

// Reads a settings file and checks it. On error prints one sentence per error,
// naming file and path, and exits with kExitBadInput.
nlohmann::json ReadSettings(const std::string& file,
                            const std::vector<field_rule>& rules);

// Prints the sentence and exits.
[[noreturn]] void Die(exit_code code, const std::string& sentence);

// Call before any thread starts: SIGTERM and SIGINT then only reach the thread
// made here. The first calls what `OnStop` was given, the second ends the
// process at once.
void HandleSignals(const char* prefix);

// What to do on the first signal; called at once if it has come already.
void OnStop(std::function<void()> stop);

// What to do on SIGHUP, and when the content of the settings file changes: not
// every change comes with a signal. Called on the thread of the signals.
// Without it SIGHUP is ignored. Failure guarded against: its default is to end
// the process at once, with every request that it serves.
void OnReload(std::string file, std::function<void()> reload);

// As ReadSettings, for a file that changes while the process runs: empty if it
// can't be used, and `error` says why.
nlohmann::json ReReadSettings(const std::string& file,
                              const std::vector<field_rule>& rules,
                              std::string& error);

uint64_t RandomSeed();  // from the system's source of randomness

std::string ReadFile(const std::string& path, std::string& error);

// What a server's callers may make it hold, on a machine with so much memory
// for the process. One request of the longest body always has room.
intake_options IntakeFor(size_t memory_mb,
                         size_t max_body_bytes,
                         size_t max_connections);

// At most one part of so many of the descriptors that the process may open.
// Failure guarded against: accepting fails for want of one, and the HTTP
// library doesn't accept again.
size_t ConnectionsWithin(size_t wanted, size_t parts);

// Starts a server and returns its address; exits with kExitCantListen and a
// sentence if the address can't be had.
std::string StartOrDie(http_server& server, const char* prefix);

// One line of JSON on stdout, for whoever started this process.
void PrintReady(const nlohmann::json& line);

}  // namespace cassiaferry

#endif  // CASSIAFERRY_SRC_APPS_APP_H_
