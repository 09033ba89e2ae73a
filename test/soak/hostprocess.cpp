#include "hostprocess.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <array>
#include <cstring>

namespace cicadagap {

HostProcess::~HostProcess()
{
    if (m_pid == 0)
        return;
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

bool HostProcess::start(Reason *reason)
{
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr mode_t LogMode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, m_options.log.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, LogMode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // Otherwise the child would inherit this process's listening sockets and keep them open.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string flag = "--settings";
    const std::array<char *, 4> arguments{m_options.program.data(), flag.data(),
                                          m_options.bootFile.data(), nullptr};
    const std::array<char *, 1> environment{nullptr};
    const int error = ::posix_spawn(&m_pid, m_options.program.c_str(), &actions, nullptr,
                                    arguments.data(), environment.data());
    posix_spawn_file_actions_destroy(&actions);
    if (error != 0) {
        m_pid = 0;
        setReason(reason, m_options.program + " cannot be started: " + std::strerror(error));
        return false;
    }
    ++m_incarnation;
    m_stopRequested = false;
    return true;
}

void HostProcess::signal(int number)
{
    if (!running())
        return;
    m_stopRequested = m_stopRequested || number == SIGTERM || number == SIGKILL;
    ::kill(m_pid, number);
}

bool HostProcess::running()
{
    if (m_pid == 0)
        return false;
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) == 0)
        return true;
    m_pid = 0;
    if (!m_stopRequested && m_unexpectedEnd.empty())
        m_unexpectedEnd = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                              : "status " + std::to_string(WEXITSTATUS(status));
    return false;
}

} // namespace cicadagap
