//! `maplehook-simulator-adapter`: hosts many [`Balancer`]s and speaks the simulator's wire on standard input and output.
//!
//! It only translates; every decision is the library's. Anything malformed ends it with one line on
//! standard error and exit code 1, and with no part of a reply written.

mod wire;

use maplehook_core::{Action, Balancer, Event, FleetScope, Listed};
use std::collections::HashMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use std::time::Duration;
use wire::{Located, Record, WireError};

/// Frames longer than this are taken for garbage.
const LONGEST_FRAME: usize = 1 << 30;

#[derive(Default)]
struct Host {
    instances: HashMap<u32, Balancer>,
    lists: HashMap<u32, Vec<Listed>>,
    actions: Vec<Action>,
    /// What the instances of this batch want done, in order.
    pending: Vec<(u32, Action)>,
}

impl Host {
    /// Plays one record into the instance it is for and keeps its actions for the reply.
    fn play(&mut self, now: Duration, located: Located) -> Result<(), WireError> {
        let Located { at, instance, record } = located;
        let wrong = |what: String| WireError { at, what };
        let event = match &record {
            Record::Directory { .. } => {
                if let Record::Directory { list, listed } = record {
                    self.lists.insert(list, listed);
                }
                return Ok(());
            }
            Record::PowerOn { seed, settings } => {
                let settings = maplehook_platform_settings::parse(settings).map_err(wrong)?.settings;
                let balancer = Balancer::new(settings, *seed).map_err(|e| wrong(e.to_string()))?;
                self.instances.insert(instance, balancer);
                self.pending.retain(|(owner, _)| *owner != instance);
                return Ok(());
            }
            Record::Detach => {
                self.instances.remove(&instance);
                // A death and a rebirth may share a batch: what the dead one wanted must not reach the new one.
                self.pending.retain(|(owner, _)| *owner != instance);
                return Ok(());
            }
            Record::Peer if self.instances.contains_key(&instance) => return Ok(()),
            Record::Peer => return Err(wrong(format!("instance {instance} was never started"))),
            Record::Fleet { scope: FleetScope::Failed, .. } => {
                Event::Fleet { scope: FleetScope::Failed, listed: &[] }
            }
            Record::Fleet { scope, list } => {
                let listed = self.lists.get(list);
                let listed = listed.ok_or_else(|| wrong(format!("no list has number {list}")))?;
                Event::Fleet { scope: *scope, listed }
            }
            Record::Request { id, class, tenant, left, work, repeat } => Event::Request {
                id: *id,
                class: *class,
                tenant: *tenant,
                time_left: *left,
                work_ms: *work,
                repeat: *repeat,
            },
            Record::Started { id, attempt, latency } => {
                Event::StreamStarted { id: *id, attempt: *attempt, latency: Some(*latency) }
            }
            Record::Ended { id, attempt, finished, end } => Event::AttemptEnded {
                id: *id,
                attempt: *attempt,
                upstream: end.upstream,
                outcome: end.outcome,
                latency: end.latency,
                finished: *finished,
                report: &end.report,
            },
            Record::Probed { end } => Event::ProbeEnded {
                upstream: end.upstream,
                outcome: end.outcome,
                latency: end.latency,
                report: &end.report,
            },
            Record::Gone { id } => Event::RequestGone { id: *id },
            Record::Timer { timer } => Event::Timer { timer: *timer },
        };
        let balancer = self.instances.get_mut(&instance);
        let balancer = balancer.ok_or_else(|| wrong(format!("instance {instance} was never started")))?;
        self.actions.clear();
        balancer.handle(now, event, &mut self.actions);
        self.pending.extend(self.actions.drain(..).map(|action| (instance, action)));
        Ok(())
    }
}

/// Reads one frame; `false` at the end of input between frames.
fn read_frame(input: &mut impl Read, frame: &mut Vec<u8>) -> Result<bool, String> {
    frame.clear();
    let cut = |got: usize, want: usize| format!("frame cut short at byte {got}: {want} expected");
    let got = input.by_ref().take(4).read_to_end(frame).map_err(|e| e.to_string())?;
    if got == 0 {
        return Ok(false);
    }
    let Ok(head) = <[u8; 4]>::try_from(&frame[..]) else { return Err(cut(got, 4)) };
    let length = u32::from_be_bytes(head) as usize;
    if !(8..=LONGEST_FRAME).contains(&length) {
        return Err(format!("byte 0: length {length} fits no batch"));
    }
    input.by_ref().take(length as u64).read_to_end(frame).map_err(|e| e.to_string())?;
    if frame.len() < length + 4 { Err(cut(frame.len(), length + 4)) } else { Ok(true) }
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut frame, mut reply, mut host) = (Vec::new(), Vec::new(), Host::default());
    while read_frame(&mut input, &mut frame)? {
        let described = |e: WireError| format!("byte {}: {}", e.at, e.what);
        let (now, records) = wire::decode(&frame).map_err(described)?;
        wire::begin(&mut reply);
        for located in records {
            host.play(now, located).map_err(described)?;
        }
        for (instance, action) in host.pending.drain(..) {
            wire::encode(&mut reply, instance, &action);
        }
        wire::finish(&mut reply);
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("maplehook-simulator-adapter: {what}");
            ExitCode::FAILURE
        }
    }
}
