// What the system tells of a process's use of it (Linux, /proc), read from outside.
#pragma once

#include <sys/types.h>

#include <cstddef>

namespace irismux::bench {

/// Processor time of all its threads so far, user and system (utime + stime of /proc/PID/stat; steps of
/// 10 ms where the clock ticks at 100 Hz).
double processor_seconds(pid_t id);
/// Resident memory now (VmRSS of /proc/PID/status).
double resident_mb(pid_t id);
/// Open descriptors now.
std::size_t descriptors(pid_t id);

}  // namespace irismux::bench
