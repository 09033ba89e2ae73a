#include "process/linewriter.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>
#include <utility>

namespace cicadagap {

namespace {

// Whether a write of up to PIPE_BUF bytes returns at once.
bool isWritable(int descriptor)
{
    pollfd entry{.fd = descriptor, .events = POLLOUT, .revents = 0};
    return ::poll(&entry, 1, 0) == 1;
}

} // namespace

bool LineWriter::write(std::string_view line)
{
    flush();
    if (m_kept.size() + line.size() > m_options.capacity) {
        ++m_dropped;
        return false;
    }
    m_kept += line;
    flush();
    return true;
}

bool LineWriter::flush()
{
    std::size_t written = 0;
    while (written < m_kept.size() && isWritable(m_options.descriptor)) {
        const std::size_t size = std::min<std::size_t>(m_kept.size() - written, PIPE_BUF);
        const ssize_t result = ::write(m_options.descriptor, m_kept.data() + written, size);
        if (result < 0 && errno == EINTR)
            continue;
        if (result < 0) {
            // The reader is gone, or the device failed: what is kept would never be read.
            m_dropped += static_cast<std::uint64_t>(std::count(
                m_kept.begin() + static_cast<std::ptrdiff_t>(written), m_kept.end(), '\n'));
            written = m_kept.size();
            break;
        }
        written += static_cast<std::size_t>(result);
    }
    m_kept.erase(0, written);
    return m_kept.empty();
}

std::uint64_t LineWriter::takeDropped()
{
    return std::exchange(m_dropped, 0);
}

} // namespace cicadagap
