//! Batches in.

use super::reader::Reader;
use super::{AttemptEnd, LocatedRecord, Record, WireError};
use maplehook_core::{
    AttemptNo, Availability, CellId, ClassId, Endpoint, KindId, RequestId, TenantId, TimerId, UpdateScope,
    ZoneId,
};
use maplehook_platform_settings::duration_from_ms;
use std::time::Duration;

/// The codes of the records.
const PEER_MESSAGE: u8 = 1;
const REQUEST_CANCELLED: u8 = 2;
const STREAM_STARTED: u8 = 3;
const ENDPOINT_LIST: u8 = 4;
const START: u8 = 5;
const TIMER: u8 = 6;
const PROBE_ENDED: u8 = 7;
const STOP: u8 = 8;
const ENDPOINT_UPDATE: u8 = 9;
const ATTEMPT_ENDED: u8 = 10;
const REQUEST: u8 = 11;
/// The highest number of a list of endpoints.
const MAX_LIST: u32 = 15;
/// The bytes of one endpoint.
const ENDPOINT_BYTES: usize = 24;
/// The flags of a request.
const HAS_WORK: u8 = 1;
const IS_REPEAT: u8 = 2;

/// Decodes a whole batch, its length field included, into the clock and the records. Fails if any byte of it
/// is wrong.
pub(crate) fn decode(frame: &[u8]) -> Result<(Duration, Vec<LocatedRecord>), WireError> {
    let mut reader = Reader::new(frame);
    let (length, body) = (reader.u32("length")? as usize, frame.len() - 4);
    if length != body {
        return Err(WireError { offset: 0, reason: format!("length {length} for {body} bytes") });
    }
    let clock = reader.duration("clock")?;
    let mut records = Vec::new();
    while !reader.is_at_end() {
        records.push(reader.located_record()?);
    }
    Ok((clock, records))
}

impl Reader<'_> {
    fn located_record(&mut self) -> Result<LocatedRecord, WireError> {
        let offset = self.offset();
        let code = self.u8("record code")?;
        if code == ENDPOINT_LIST {
            let record = self.endpoint_list()?;
            return Ok(LocatedRecord { offset, instance: 0, record });
        }
        if !(PEER_MESSAGE..=REQUEST).contains(&code) {
            return Err(WireError { offset, reason: format!("unknown event code {code}") });
        }
        let instance = self.u32("instance")?;
        let record = match code {
            PEER_MESSAGE => self.peer_message()?,
            REQUEST_CANCELLED => Record::RequestCancelled { id: RequestId(self.u32("request")?) },
            STREAM_STARTED => self.stream_started()?,
            START => self.start()?,
            TIMER => Record::Timer { timer: TimerId(self.u32("timer")?) },
            PROBE_ENDED => self.probe_ended()?,
            STOP => Record::Stop,
            ENDPOINT_UPDATE => self.endpoint_update()?,
            ATTEMPT_ENDED => self.attempt_ended()?,
            _ => self.request()?,
        };
        Ok(LocatedRecord { offset, instance, record })
    }

    fn endpoint_list(&mut self) -> Result<Record, WireError> {
        let offset = self.offset();
        let list = self.u32("list number")?;
        let count = self.count(ENDPOINT_BYTES, "number of entries")?;
        if list > MAX_LIST {
            return Err(WireError { offset, reason: format!("list number {list} is over {MAX_LIST}") });
        }
        let endpoints = (0..count).map(|_| self.endpoint()).collect::<Result<_, _>>()?;
        Ok(Record::EndpointList { list, endpoints })
    }

    fn endpoint(&mut self) -> Result<Endpoint, WireError> {
        let id = self.upstream()?;
        let zone = ZoneId(self.u8("zone")?);
        let kind = KindId(self.u16("kind")?);
        let cell = CellId(self.u16("cell")?);
        let offset = self.offset();
        let availability = match self.u8("availability")? {
            0 => Availability::Removed,
            1 => Availability::Ready,
            2 => Availability::Draining,
            other => return Err(WireError { offset, reason: format!("unknown availability {other}") }),
        };
        let weight = f64::from(self.f32("weight")?);
        let started = Some(self.f64("start time")?).filter(|ms| *ms > 0.0).map(duration_from_ms);
        Ok(Endpoint { id, zone, kind, cell, availability, weight, started })
    }

    fn peer_message(&mut self) -> Result<Record, WireError> {
        self.u16("sender")?;
        let length = self.u16("message's length")?;
        self.take(usize::from(length), "message")?;
        Ok(Record::PeerMessage)
    }

    fn stream_started(&mut self) -> Result<Record, WireError> {
        let id = RequestId(self.u32("request")?);
        self.upstream()?;
        let attempt = AttemptNo(self.u8("attempt")?);
        Ok(Record::StreamStarted { id, attempt, latency: self.duration("latency")? })
    }

    fn start(&mut self) -> Result<Record, WireError> {
        let seed = self.u64("seed")?;
        let length = self.count(1, "settings' length")?;
        let offset = self.offset();
        let settings = std::str::from_utf8(self.take(length, "settings")?)
            .map_err(|e| WireError { offset, reason: format!("settings: {e}") })?;
        Ok(Record::Start { seed, settings: settings.to_owned() })
    }

    fn probe_ended(&mut self) -> Result<Record, WireError> {
        let (upstream, latency) = (self.upstream()?, self.duration("latency")?);
        let (outcome, report) = (self.outcome()?, self.report()?);
        Ok(Record::ProbeEnded { end: AttemptEnd { upstream, outcome, latency, report } })
    }

    fn endpoint_update(&mut self) -> Result<Record, WireError> {
        let offset = self.offset();
        let scope = match self.u8("scope")? {
            0 => UpdateScope::Failed,
            1 => UpdateScope::Full,
            2 => UpdateScope::Cached,
            3 => UpdateScope::Changes,
            other => return Err(WireError { offset, reason: format!("unknown scope {other}") }),
        };
        self.u32("version")?;
        Ok(Record::EndpointUpdate { scope, list: self.u32("list number")? })
    }

    fn attempt_ended(&mut self) -> Result<Record, WireError> {
        let id = RequestId(self.u32("request")?);
        let attempt = AttemptNo(self.u8("attempt")?);
        let (upstream, outcome) = (self.upstream()?, self.outcome()?);
        let (latency, is_finished) = (self.duration("latency")?, self.u8("done flag")? != 0);
        let end = AttemptEnd { upstream, outcome, latency, report: self.report()? };
        Ok(Record::AttemptEnded { id, attempt, is_finished, end })
    }

    fn request(&mut self) -> Result<Record, WireError> {
        let id = RequestId(self.u32("request")?);
        let class = ClassId(self.u16("class")?);
        let tenant = TenantId(self.u32("tenant")?);
        self.u64("key")?;
        let (time_left, work_ms) = (self.duration("time left")?, self.f64("work hint")?);
        let flags = self.u8("flags")?;
        let is_work_known = flags & HAS_WORK != 0 && work_ms.is_finite() && work_ms > 0.0;
        Ok(Record::Request {
            id,
            class,
            tenant,
            time_left,
            work_ms: is_work_known.then_some(work_ms),
            is_repeat: flags & IS_REPEAT != 0,
        })
    }
}
