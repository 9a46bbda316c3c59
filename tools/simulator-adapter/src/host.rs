//! The instances of the balancer that the simulator runs.

use crate::wire::{LocatedRecord, Record, WireError};
use maplehook_core::{Action, Balancer, Endpoint, Event, SettingsError, UpdateScope};
use maplehook_platform_settings::SettingsParseError;
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

/// All instances, and the lists of endpoints that records name by number.
#[derive(Default)]
pub(crate) struct Host {
    instances: HashMap<u32, Balancer>,
    lists: HashMap<u32, Vec<Endpoint>>,
    actions: Vec<Action>,
    /// The actions of the instances in this batch, in order.
    pending: Vec<(u32, Action)>,
}

impl Host {
    /// Hands one record to the instance it is for and keeps the actions for the reply. Fails if the record
    /// names an instance or a list that does not exist, or settings that permit no decisions.
    pub(crate) fn handle(&mut self, now: Duration, located: LocatedRecord) -> Result<(), WireError> {
        let LocatedRecord { offset, instance, record } = located;
        let result = match record {
            Record::EndpointList { list, endpoints } => {
                self.lists.insert(list, endpoints);
                Ok(())
            }
            Record::Start { seed, settings } => self.start(instance, seed, &settings),
            Record::Stop => {
                self.stop(instance);
                Ok(())
            }
            Record::PeerMessage => find(&mut self.instances, instance).map(drop),
            record => self.handle_event(now, instance, &record),
        };
        result.map_err(|error| WireError { offset, reason: error.to_string() })
    }

    /// Takes the actions of the batch.
    pub(crate) fn take_actions(&mut self) -> impl Iterator<Item = (u32, Action)> {
        self.pending.drain(..)
    }

    fn start(&mut self, instance: u32, seed: u64, settings: &str) -> Result<(), RecordError> {
        let settings = maplehook_platform_settings::parse(settings).map_err(RecordError::Settings)?.settings;
        let balancer = Balancer::new(settings, seed).map_err(RecordError::NoDecisions)?;
        self.stop(instance);
        self.instances.insert(instance, balancer);
        Ok(())
    }

    /// Stops an instance. A stop and a new start may share a batch: the actions of the old instance must not
    /// reach the new one.
    fn stop(&mut self, instance: u32) {
        self.instances.remove(&instance);
        self.pending.retain(|(owner, _)| *owner != instance);
    }

    fn handle_event(&mut self, now: Duration, instance: u32, record: &Record) -> Result<(), RecordError> {
        let event = event(record, &self.lists)?;
        let balancer = find(&mut self.instances, instance)?;
        self.actions.clear();
        balancer.handle(now, event, &mut self.actions);
        self.pending.extend(self.actions.drain(..).map(|action| (instance, action)));
        Ok(())
    }
}

/// Why a record can't be handled.
#[derive(Debug)]
enum RecordError {
    NeverStarted(u32),
    UnknownList(u32),
    NoEvent,
    Settings(SettingsParseError),
    NoDecisions(SettingsError),
}

impl fmt::Display for RecordError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NeverStarted(instance) => write!(f, "instance {instance} was never started"),
            Self::UnknownList(list) => write!(f, "no list has number {list}"),
            Self::NoEvent => f.write_str("the record is no event"),
            Self::Settings(error) => error.fmt(f),
            Self::NoDecisions(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for RecordError {}

fn find(instances: &mut HashMap<u32, Balancer>, instance: u32) -> Result<&mut Balancer, RecordError> {
    instances.get_mut(&instance).ok_or(RecordError::NeverStarted(instance))
}

/// Returns the event that a record tells of.
fn event<'a>(record: &'a Record, lists: &'a HashMap<u32, Vec<Endpoint>>) -> Result<Event<'a>, RecordError> {
    Ok(match record {
        Record::EndpointUpdate { scope: UpdateScope::Failed, .. } => {
            Event::EndpointUpdate { scope: UpdateScope::Failed, endpoints: &[] }
        }
        Record::EndpointUpdate { scope, list } => {
            let endpoints = lists.get(list).ok_or(RecordError::UnknownList(*list))?;
            Event::EndpointUpdate { scope: *scope, endpoints }
        }
        Record::Request { id, class, tenant, time_left, work_ms, is_repeat } => Event::Request {
            id: *id,
            class: *class,
            tenant: *tenant,
            time_left: *time_left,
            work_ms: *work_ms,
            is_repeat: *is_repeat,
        },
        Record::StreamStarted { id, attempt, latency } => {
            Event::StreamStarted { id: *id, attempt: *attempt, latency: Some(*latency) }
        }
        Record::AttemptEnded { id, attempt, is_finished, end } => Event::AttemptEnded {
            id: *id,
            attempt: *attempt,
            upstream: end.upstream,
            outcome: end.outcome,
            latency: end.latency,
            is_finished: *is_finished,
            report: &end.report,
        },
        Record::ProbeEnded { end } => Event::ProbeEnded {
            upstream: end.upstream,
            outcome: end.outcome,
            latency: end.latency,
            report: &end.report,
        },
        Record::RequestCancelled { id } => Event::RequestCancelled { id: *id },
        Record::Timer { timer } => Event::Timer { timer: *timer },
        Record::EndpointList { .. } | Record::Start { .. } | Record::Stop | Record::PeerMessage => {
            return Err(RecordError::NoEvent);
        }
    })
}
