//! Lists of the largest fleet, at the smallest limit: they take effect in every form, within the memory limit.

use crate::common::{Node, OK, Setup, Then, Upstream, discovery, entry, list, look, tell, until};
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};

/// The largest fleet that the platform has, at the smallest limits.
const FLEET: usize = 3200;
const MEMORY_MB: u64 = 32;
const SOCKETS: usize = 1024;
/// One of so many upstreams leaves.
const LEAVING_SHARE: usize = 16;
/// Requests that go to the whole fleet in turn before and after.
const REQUESTS: usize = 40;

/// Returns the list without blanks, or with each value on a line of its own, indented by `indent` blanks.
fn spelt(text: &str, indent: usize) -> String {
    if indent == 0 {
        return text.to_owned();
    }
    text.replace(',', &format!(",\n{}", " ".repeat(indent)))
        .replace('{', &format!("{{\r\n{}", " ".repeat(indent)))
}

/// A `$TMPDIR` of its own, removed when dropped.
struct Directory(PathBuf);

impl Directory {
    fn new() -> Self {
        static COUNT: AtomicUsize = AtomicUsize::new(0);
        let number = COUNT.fetch_add(1, Ordering::SeqCst);
        let name = format!("maplehook-large-lists-{}-{number}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir(&path).unwrap();
        Self(path)
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

struct Fleet {
    staying: Upstream,
    leaving: Upstream,
}

impl Fleet {
    fn start() -> Self {
        Self { staying: Upstream::start(Then::Answer(OK)), leaving: Upstream::start(Then::Answer(OK)) }
    }

    fn entries(&self, leaving_state: Option<&str>) -> Vec<String> {
        let entry_of = |n: usize| {
            let uid = format!("s-{:08x}", n * 2_654_435_761 % (1 << 32));
            if n.is_multiple_of(LEAVING_SHARE) {
                leaving_state.map(|state| entry(&uid, self.leaving.address, state))
            } else {
                Some(entry(&uid, self.staying.address, "Ready"))
            }
        };
        (0..FLEET).filter_map(entry_of).collect()
    }

    /// Returns how many of some requests go to the upstreams that leave.
    fn requests_to_leaving(&self, node: &Node) -> usize {
        let before = self.leaving.seen().len();
        let mut client = node.connect();
        for _ in 0..REQUESTS {
            assert_eq!(client.exchange(&look(5000)).status(), 200);
        }
        self.leaving.seen().len() - before
    }
}

fn setup(fleet: &Fleet, asks: bool, tmp: Option<PathBuf>) -> Setup {
    let mut setup = Setup::with(&[]);
    setup.known = list(1, true, &fleet.entries(Some("Ready")));
    (setup.asks, setup.memory_mb, setup.sockets) = (asks, MEMORY_MB, SOCKETS);
    if let Some(tmp) = tmp {
        let socket = TcpListener::bind("127.0.0.1:0").unwrap();
        setup.inherits = Some(OwnedFd::from(socket));
        setup.tmp = Some(tmp);
    }
    setup
}

fn assert_within_limit(peak_kib: u64, form: &str) {
    println!("{form}: peak {peak_kib} KiB");
    assert!((peak_kib as f64) < (MEMORY_MB * 1024) as f64 * crate::MAX_PEAK_SHARE, "{form}: {peak_kib} KiB");
}

/// Guards drains in large fleets (postmortem 81-lists-turned-down): a whole list, and changes for the whole fleet, take
/// effect however their text is spelt.
#[test]
fn lists_of_the_largest_fleet_take_effect_in_every_form() {
    let _alone = crate::alone();
    for (asks, indent, is_whole, is_shared) in [
        (true, 0, true, false),
        (true, 8, true, false),
        (true, 8, false, false),
        (true, 0, true, true),
        (true, 8, true, true),
        (false, 8, true, false),
        (false, 0, false, true),
        (false, 8, true, true),
    ] {
        let form = format!("asks {asks}, indent {indent}, whole {is_whole}, shared socket {is_shared}");
        let fleet = Fleet::start();
        let tmp = Directory::new();
        let mut setup = setup(&fleet, asks, is_shared.then(|| tmp.0.clone()));
        let (address, calls) = discovery();
        setup.discovery = address;
        let node = setup.start();
        let (_, watch) = calls.recv_timeout(crate::common::LONG).unwrap();
        let entries = if is_whole { fleet.entries(None) } else { fleet.entries(Some("Gone")) };
        tell(&watch, &spelt(&list(2, is_whole, &entries), indent));
        until(&format!("the list takes effect: {form}"), || fleet.requests_to_leaving(&node) == 0);
        // One entry of the same watch changes.
        tell(&watch, &list(3, false, &[entry("s-late", fleet.leaving.address, "Ready")]));
        tell(
            &watch,
            &spelt(&list(4, false, &[entry("s-late", fleet.leaving.address, "Terminating")]), indent),
        );
        until("the change takes effect", || fleet.requests_to_leaving(&node) == 0);
        assert_within_limit(node.peak_memory(), &form);
    }
}

/// Guards the next process of a large fleet: it starts from what its predecessor knew, and both stay within one limit.
#[test]
fn the_largest_fleet_is_handed_over() {
    let _alone = crate::alone();
    let (fleet, tmp) = (Fleet::start(), Directory::new());
    let mut setup = setup(&fleet, true, Some(tmp.0.clone()));
    let (address, calls) = discovery();
    setup.discovery = address;
    let first = setup.start();
    let (_, watch) = calls.recv_timeout(crate::common::LONG).unwrap();
    tell(&watch, &spelt(&list(2, true, &fleet.entries(None)), 8));
    until("the list takes effect", || fleet.requests_to_leaving(&first) == 0);
    let written =
        || std::fs::read_dir(&tmp.0).unwrap().flatten().any(|f| f.path().ends_with("maplehook-n0.handover"));
    until("the snapshot is written", written);
    std::thread::sleep(std::time::Duration::from_secs(1));
    let second = setup.start();
    assert!(second.has_logged("taken over") && second.has_logged("upstreams=3000"), "the snapshot is read");
    let first_peak = first.peak_memory();
    first.terminate();
    assert_eq!(fleet.requests_to_leaving(&second), 0, "the next process has the newer list");
    let peaks = [first_peak, second.peak_memory()];
    peaks.iter().for_each(|peak| assert_within_limit(*peak, "one of two processes"));
    // The unoptimized program takes as much by itself as a fleet may take.
    if !cfg!(debug_assertions) {
        assert_within_limit(peaks.iter().sum(), "two processes");
    }
}

/// Guards against silence: a list of more entries than are read is turned down with their number, counted, and another
/// one is asked for.
#[test]
fn a_list_of_too_many_entries_is_named() {
    let _alone = crate::alone();
    let fleet = Fleet::start();
    for asks in [true, false] {
        let mut setup = setup(&fleet, asks, None);
        setup.control = true;
        let (address, calls) = discovery();
        setup.discovery = address;
        let node = setup.start();
        let entries =
            [fleet.entries(Some("Ready")), fleet.entries(Some("Ready")), fleet.entries(None)].concat();
        for _ in 0..2 {
            let (_, watch) = calls.recv_timeout(crate::common::LONG).unwrap();
            tell(&watch, &spelt(&list(2, true, &entries), 2));
        }
        let (_, watch) = calls.recv_timeout(crate::common::LONG).expect("it asks again");
        assert!(node.has_logged("the list has 9400 entries, at most 6400 are read"));
        assert!(node.has_logged("the list is out of date"));
        assert!(node.has_figure("balancer_lists_turned_down_total{reason=\"too_many_entries\"}", 2));
        tell(&watch, &list(2, true, &fleet.entries(None)));
        until("the next list takes effect", || fleet.requests_to_leaving(&node) == 0);
        assert_within_limit(node.peak_memory(), "too many entries");
    }
}
