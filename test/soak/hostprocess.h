// A session server as a separate process, which the soak starts, signals and starts again.
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
        std::string settings; // Path of its settings file.
        std::string log;      // Its output is appended there.
    };

    explicit HostProcess(Options options)
        : m_options(std::move(options))
    {
    }
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;
    // Kills the process.
    ~HostProcess();

    bool start(Reason *reason);
    // Nothing happens if the process does not run.
    void signal(int number);
    // Whether it still runs; reaps it if it has ended.
    bool running();
    // Counts starts.
    int incarnation() const { return m_incarnation; }
    // The last end was not one that the soak caused.
    bool endedByItself() const { return m_endedByItself; }

private:
    Options m_options;
    pid_t m_pid = 0;
    int m_incarnation = 0;
    bool m_stopping = false; // It was told to stop, or killed.
    bool m_endedByItself = false;
};

} // namespace cicadagap
