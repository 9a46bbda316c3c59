//! Many balancers' parts in an agreement, in one process: what a leader and its followers say when nothing changes, and what a long
//! change costs. The ways between them are queues, so that bytes are those of the messages alone.

use maplehook_cluster::Name;
use maplehook_consensus::messages::{AdminReply, AdminRequest};
use maplehook_consensus::{AdminClient, ConsensusConfig, ConsensusService};
use maplehook_transport::PeerChannel;
use maplehook_transport::frames::Message;
use maplehook_versions::{LeaseExpiryPolicy, LeaseTimes, Phase};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Messages that may wait at a member.
const WAITING: usize = 1024;
/// The longest wait for anything.
const MOST: Duration = Duration::from_secs(120);

/// A member's part.
struct Part {
    agreeing: ConsensusService,
    said: Arc<AtomicU64>,
    messages: Arc<AtomicU64>,
}

/// A file whose list of upstreams takes about so many bytes.
fn file(bytes: usize) -> String {
    let mut text =
        "[listen]\naddress = \"127.0.0.1:0\"\n[[class]]\nname = \"all\"\npath = \"/**\"\n".to_owned();
    for n in 0..(bytes / 62).max(1) {
        // Writing to a string can't fail.
        let _ = write!(
            text,
            "[[upstream]]\nname = \"desk-{n:06}\"\naddress = \"10.{}.{}.{}:80\"\n",
            n >> 16,
            n >> 8 & 255,
            n & 255
        );
    }
    text
}

fn written() -> u64 {
    let text = std::fs::read_to_string("/proc/self/io").unwrap_or_default();
    text.lines().find_map(|line| line.strip_prefix("write_bytes: ")?.trim().parse().ok()).unwrap_or(0)
}

/// Measures it; the figures in words.
pub fn measure(members: usize, bytes: usize, contradiction: Duration) -> Result<String, String> {
    let place = std::env::temp_dir().join(format!("maplehook-fleet-{}", std::process::id()));
    let told = measured(members, bytes, contradiction, &place);
    // What is left there is only this measurement's.
    let _ = std::fs::remove_dir_all(&place);
    told
}

fn measured(members: usize, bytes: usize, contradiction: Duration, place: &Path) -> Result<String, String> {
    let times = LeaseTimes::new(contradiction).ok_or("that time can't be kept")?;
    let names: Vec<Name> = (0..members).filter_map(|n| Name::new(&format!("b{n}"))).collect();
    let voters: Vec<Name> = names.iter().take(3).cloned().collect();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    let first = file(1000);
    let (mut parts, mut mouths, mut ears) = (Vec::new(), Vec::new(), BTreeMap::new());
    for name in &names {
        let ((say, said), (tell, heard)) = (mpsc::channel(WAITING), mpsc::channel(WAITING));
        ears.insert(name.clone(), tell);
        let directory = voters.contains(name).then(|| place.join(name.as_str()));
        let setup = ConsensusConfig {
            local_name: name.clone(),
            voters: voters.clone(),
            members: names.iter().cloned().collect(),
            lease_times: times,
            expiry_policy: LeaseExpiryPolicy::Conservative,
            directory,
            file: first.clone(),
        };
        let agreeing = ConsensusService::start(setup, PeerChannel { outgoing: say, incoming: heard })
            .map_err(|error| error.to_string())?;
        let (counted, messages) = (Arc::default(), Arc::default());
        mouths.push((name.clone(), said, Arc::clone(&counted), Arc::clone(&messages)));
        parts.push(Part { agreeing, said: counted, messages });
    }
    let ears: Arc<BTreeMap<Name, mpsc::Sender<(Name, Message)>>> = Arc::new(ears);
    for (name, mut said, counted, messages) in mouths {
        let ears = Arc::clone(&ears);
        runtime.spawn(async move {
            while let Some((to, message)) = said.recv().await {
                counted.fetch_add(message.body.len() as u64, Ordering::Relaxed);
                messages.fetch_add(1, Ordering::Relaxed);
                if let Some(ear) = ears.get(&to) {
                    // As on a link, what does not fit is lost.
                    let _ = ear.try_send((name.clone(), message));
                }
            }
        });
    }
    for part in &parts {
        let (mut acting, applied) =
            (part.agreeing.active_version.clone(), part.agreeing.applied_epoch.clone());
        runtime.spawn(async move {
            while acting.changed().await.is_ok() {
                let epoch = acting.borrow_and_update().epoch;
                applied.send_if_modified(|before| std::mem::replace(before, epoch) != epoch);
            }
        });
    }
    let epochs =
        || -> Vec<u64> { parts.iter().map(|part| part.agreeing.active_version.borrow().epoch).collect() };
    let until = |epoch: u64| -> Result<Duration, String> {
        let begun = Instant::now();
        while epochs().iter().any(|acts| *acts < epoch) {
            if begun.elapsed() > MOST {
                return Err(format!("epoch {epoch} is not everywhere: {:?}", epochs()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(begun.elapsed())
    };
    let settled = until(1)?;
    let span = Duration::from_secs(10);
    std::thread::sleep(Duration::from_secs(2));
    let count = |parts: &[Part]| -> Vec<(u64, u64)> {
        let one = |part: &Part| (part.said.load(Ordering::Relaxed), part.messages.load(Ordering::Relaxed));
        parts.iter().map(one).collect()
    };
    let (before, disk) = (count(&parts), written());
    std::thread::sleep(span);
    let (after, disk) = (count(&parts), written() - disk);
    let mut each: Vec<(f64, f64)> = before
        .iter()
        .zip(&after)
        .map(|(b, a)| ((a.0 - b.0) as f64 / span.as_secs_f64(), (a.1 - b.1) as f64 / span.as_secs_f64()))
        .collect();
    each.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (follower, leader) = (each[members / 2], each[members - 1]);
    let mut text = format!(
        "{members} members, all on version 1 after {:.2} s; nothing changes: the leader says {:.0} bytes in {:.0} messages a \
         second, a follower {:.0} in {:.1}; {disk} bytes to disks in {} s\n",
        settled.as_secs_f64(),
        leader.0,
        leader.1,
        follower.0,
        follower.1,
        span.as_secs()
    );
    let long = file(bytes);
    let (shared, _) = maplehook_config::shared(&long).map_err(|e| e.to_string())?;
    let said = count(&parts);
    let begun = Instant::now();
    propose(&runtime, &parts[members - 1].agreeing.admin_client(), &shared)?;
    until(2)?;
    let strictest = begun.elapsed();
    until(3)?;
    let whole = begun.elapsed();
    let mut more: Vec<u64> = said.iter().zip(count(&parts)).map(|(b, a)| a.0 - b.0).collect();
    more.sort_unstable();
    let all: u64 = more.iter().sum();
    // Writing to a string can't fail.
    let _ = write!(
        text,
        "a change of {} bytes: at its middle step everywhere after {:.2} s, in force everywhere after {:.2} s; {:.1} MB said in \
         all, {:.1} MB by the leader",
        shared.len(),
        strictest.as_secs_f64(),
        whole.as_secs_f64(),
        all as f64 / 1e6,
        more.last().copied().unwrap_or(0) as f64 / 1e6
    );
    Ok(text)
}

fn propose(runtime: &tokio::runtime::Runtime, wishes: &AdminClient, text: &str) -> Result<(), String> {
    let begun = Instant::now();
    loop {
        let op = AdminRequest::Propose { text: text.to_owned(), expected: None };
        match runtime.block_on(wishes.request(op)) {
            Some((_, AdminReply::Done(_))) => return Ok(()),
            Some((_, AdminReply::Rejected(why))) => return Err(why),
            Some((local, _)) if matches!(local.phase, Phase::Transition { .. }) => return Ok(()),
            other if begun.elapsed() > MOST => return Err(format!("{:?}", other.map(|(_, reply)| reply))),
            // Whoever checks a long text takes a while; saying it again is harmless.
            _ => std::thread::sleep(Duration::from_millis(100)),
        }
    }
}
