//! Resource usage of this process, read from `/proc`.

use std::time::Duration;

/// Unit of processor time in `/proc`: hundredths of a second (`USER_HZ`, proc(5)).
const CPU_TICK: Duration = Duration::from_millis(10);

/// Resource usage of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct ProcessUsage {
    /// Processor time since the start of the process.
    pub(crate) cpu: Duration,
    /// Resident memory in KiB.
    pub(crate) memory_kb: u64,
    /// Number of open file descriptors.
    pub(crate) descriptors: u64,
}

/// Reads the current usage. Unreadable values are 0 and are not compared.
pub(crate) fn process_usage() -> ProcessUsage {
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let descriptors = std::fs::read_dir("/proc/self/fd").map_or(0, |entries| entries.count() as u64);
    ProcessUsage { cpu: cpu_time(&stat), memory_kb: memory_kb(&status), descriptors }
}

/// Parses `utime` and `stime`, fields 14 and 15. Field 2, the process name, may contain any character and
/// ends at the last closing parenthesis.
fn cpu_time(stat: &str) -> Duration {
    let fields = stat.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks: u32 =
        fields.split_whitespace().skip(11).take(2).filter_map(|field| field.parse::<u32>().ok()).sum();
    CPU_TICK * ticks
}

fn memory_kb(status: &str) -> u64 {
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn parses_proc_files() {
        let stat = "7 (a) b) R 1 1 1 0 -1 4 0 0 0 0 150 50 0 0 20";
        assert_eq!(cpu_time(stat), Duration::from_secs(2));
        assert_eq!(memory_kb("Name:\tx\nVmRSS:\t  2048 kB\n"), 2048);
        assert_eq!((cpu_time(""), memory_kb("VmRSS:")), (Duration::ZERO, 0));
        let usage = process_usage();
        assert!(usage.memory_kb > 0 && usage.descriptors > 2, "{usage:?}");
    }
}
