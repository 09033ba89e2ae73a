// A mutex with Clang thread-safety annotations, so that the linter (clang-tidy with
// -Wthread-safety) reports access to guarded members without the lock. Other compilers ignore the
// annotations.
//
//     Mutex m_mutex;
//     int m_count CICADAGAP_GUARDED_BY(m_mutex) = 0;
//     ...
//     MutexLock lock(&m_mutex);
//     ++m_count;
#pragma once

#include <mutex>

#if defined(__clang__)
#define CICADAGAP_ANNOTATION(x) __attribute__((x))
#else
#define CICADAGAP_ANNOTATION(x)
#endif
// Marks a member that may be accessed only while the mutex `x` is held.
#define CICADAGAP_GUARDED_BY(x) CICADAGAP_ANNOTATION(guarded_by(x))
// Marks a function that may be called only while the mutex `x` is held.
#define CICADAGAP_REQUIRES(x) CICADAGAP_ANNOTATION(requires_capability(x))

namespace cicadagap {

// A std::mutex that the thread-safety analysis knows. Lock it with MutexLock.
class CICADAGAP_ANNOTATION(capability("mutex")) Mutex
{
public:
    void lock() CICADAGAP_ANNOTATION(acquire_capability()) { m_mutex.lock(); }
    void unlock() CICADAGAP_ANNOTATION(release_capability()) { m_mutex.unlock(); }

private:
    std::mutex m_mutex;
};

// Locks a Mutex for the lifetime of a scope. The mutex must outlive the lock.
class CICADAGAP_ANNOTATION(scoped_lockable) MutexLock
{
public:
    explicit MutexLock(Mutex *mutex) CICADAGAP_ANNOTATION(acquire_capability(mutex))
        : m_mutex(mutex)
    {
        m_mutex->lock();
    }
    ~MutexLock() CICADAGAP_ANNOTATION(release_capability()) { m_mutex->unlock(); }
    MutexLock(const MutexLock &) = delete;
    MutexLock &operator=(const MutexLock &) = delete;

private:
    Mutex *m_mutex;
};

} // namespace cicadagap
