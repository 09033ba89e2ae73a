// A session server as a separate process, which the soak test starts, signals and restarts.
#pragma once

#include "base/reason.h"

#include <sys/types.h>

#include <string>

namespace cicadagap {

class HostProcess
{
public:
    struct Options
    {
        std::string program;
        std::string bootFile; // The path of its boot file.
        std::string log;      // The path of the file to which its output is appended.
    };

    explicit HostProcess(Options options)
        : m_options(std::move(options))
    {
    }
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;
    // Kills the process if it runs.
    ~HostProcess();

    // False, and a reason, if the program cannot be started.
    bool start(Reason *reason);
    // Sends the signal; does nothing if the process does not run.
    void signal(int number);
    // Whether the process runs. Reaps it if it has ended.
    bool running();
    // The number of starts so far.
    int incarnation() const { return m_incarnation; }
    // How the process first ended without SIGTERM or SIGKILL from signal(): its signal or exit
    // status. Empty if it never did.
    const std::string &unexpectedEnd() const { return m_unexpectedEnd; }

private:
    Options m_options;
    pid_t m_pid = 0;
    int m_incarnation = 0;
    bool m_stopRequested = false; // It was sent SIGTERM or SIGKILL.
    std::string m_unexpectedEnd;
};

} // namespace cicadagap
