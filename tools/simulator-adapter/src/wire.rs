//! The simulator's binary dialect: batches of events in, replies of actions out. No decisions.

use maplehook_core::{
    Action, AttemptNo, Availability, CellId, ClassId, FleetScope, KindId, Listed, Outcome, RequestId,
    TenantId, TimerId, UpstreamId, ZoneId,
};
use maplehook_platform_settings::ms;
use std::time::Duration;

/// What is wrong with a batch, and at which byte of it (the length field included).
#[derive(Debug, PartialEq)]
pub struct WireError {
    pub at: usize,
    pub what: String,
}

/// One record of a batch.
#[derive(Debug, PartialEq)]
pub enum Record {
    Directory {
        list: u32,
        listed: Vec<Listed>,
    },
    PowerOn {
        seed: u64,
        settings: String,
    },
    Detach,
    Fleet {
        scope: FleetScope,
        list: u32,
    },
    Request {
        id: RequestId,
        class: ClassId,
        tenant: TenantId,
        left: Duration,
        work: Option<f64>,
        repeat: bool,
    },
    Started {
        id: RequestId,
        attempt: AttemptNo,
        latency: Duration,
    },
    Ended {
        id: RequestId,
        attempt: AttemptNo,
        finished: bool,
        end: End,
    },
    Probed {
        end: End,
    },
    Gone {
        id: RequestId,
    },
    Timer {
        timer: TimerId,
    },
    Peer,
}

/// How an attempt or a probe ended, and what came with it.
#[derive(Debug, PartialEq)]
pub struct End {
    pub upstream: UpstreamId,
    pub outcome: Outcome,
    pub latency: Duration,
    pub report: Vec<f32>,
}

/// A record with its place in the batch and its instance (0 for `Directory`, which has none).
#[derive(Debug, PartialEq)]
pub struct Located {
    pub at: usize,
    pub instance: u32,
    pub record: Record,
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl<'a> Reader<'a> {
    fn take(&mut self, n: usize, what: &str) -> Result<&'a [u8], WireError> {
        let end = self.at.checked_add(n).filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            let what = format!("{what} needs {n} bytes, {} are left", self.bytes.len() - self.at);
            return Err(WireError { at: self.at, what });
        };
        let taken = &self.bytes[self.at..end];
        self.at = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, what: &str) -> Result<[u8; N], WireError> {
        let taken = self.take(N, what)?;
        Ok(std::array::from_fn(|i| taken[i]))
    }

    fn u8(&mut self, what: &str) -> Result<u8, WireError> {
        Ok(self.array::<1>(what)?[0])
    }
    fn u16(&mut self, what: &str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(what)?))
    }
    fn u32(&mut self, what: &str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(what)?))
    }
    fn u64(&mut self, what: &str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(what)?))
    }
    fn f32(&mut self, what: &str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(what)?))
    }
    fn f64(&mut self, what: &str) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array(what)?))
    }
    fn time(&mut self, what: &str) -> Result<Duration, WireError> {
        Ok(ms(self.f64(what)?))
    }

    fn upstream(&mut self) -> Result<UpstreamId, WireError> {
        let bytes: [u8; 6] = self.array("upstream")?;
        Ok(UpstreamId(bytes.iter().fold(0, |id, b| id << 8 | u64::from(*b))))
    }

    fn report(&mut self) -> Result<Vec<f32>, WireError> {
        let n = self.u8("load report's length")?;
        (0..n).map(|_| self.f32("load report")).collect()
    }

    /// A count of things of `size` bytes each, refused before memory is set aside for what can't be there.
    fn count(&mut self, size: usize, what: &str) -> Result<usize, WireError> {
        let (at, n) = (self.at, self.u32(what)? as usize);
        let left = self.bytes.len() - self.at;
        if n.checked_mul(size).is_none_or(|need| need > left) {
            let what = format!("{what} is {n}, but only {left} bytes are left");
            return Err(WireError { at, what });
        }
        Ok(n)
    }

    fn outcome(&mut self) -> Result<Outcome, WireError> {
        let at = self.at;
        Ok(match self.u16("outcome")? {
            100 => Outcome::Ok,
            301 => Outcome::Error,
            302 => Outcome::Rejected,
            303 => Outcome::TimedOut,
            304 => Outcome::ConnectFailed,
            305 => Outcome::Reset,
            306 => Outcome::Cancelled,
            307 => Outcome::NotSent,
            other => return Err(WireError { at, what: format!("unknown outcome {other}") }),
        })
    }

    fn listed(&mut self) -> Result<Listed, WireError> {
        let id = self.upstream()?;
        let zone = ZoneId(self.u8("zone")?);
        let kind = KindId(self.u16("kind")?);
        let cell = CellId(self.u16("cell")?);
        let at = self.at;
        let availability = match self.u8("availability")? {
            0 => Availability::Gone,
            1 => Availability::Ready,
            2 => Availability::Draining,
            other => return Err(WireError { at, what: format!("unknown availability {other}") }),
        };
        let weight = f64::from(self.f32("weight")?);
        let started = Some(self.f64("start time")?).filter(|t| *t > 0.0).map(ms);
        Ok(Listed { id, zone, kind, cell, availability, weight, started })
    }

    fn record(&mut self) -> Result<Located, WireError> {
        let at = self.at;
        let code = self.u8("record code")?;
        if code == 4 {
            let (list, n) = (self.u32("list number")?, self.count(24, "number of entries")?);
            if list > 15 {
                let what = format!("list number {list} is over 15");
                return Err(WireError { at: at + 1, what });
            }
            let listed = (0..n).map(|_| self.listed()).collect::<Result<_, _>>()?;
            return Ok(Located { at, instance: 0, record: Record::Directory { list, listed } });
        }
        if !(1..=11).contains(&code) {
            return Err(WireError { at, what: format!("unknown event code {code}") });
        }
        let instance = self.u32("instance")?;
        let record = match code {
            1 => {
                self.u16("sender")?;
                let n = self.u16("message's length")?;
                self.take(usize::from(n), "message")?;
                Record::Peer
            }
            2 => Record::Gone { id: RequestId(self.u32("request")?) },
            3 => {
                let id = RequestId(self.u32("request")?);
                self.upstream()?;
                let attempt = AttemptNo(self.u8("attempt")?);
                Record::Started { id, attempt, latency: self.time("latency")? }
            }
            5 => {
                let seed = self.u64("seed")?;
                let n = self.count(1, "settings' length")?;
                let from = self.at;
                let text = std::str::from_utf8(self.take(n, "settings")?)
                    .map_err(|e| WireError { at: from, what: format!("settings: {e}") })?;
                Record::PowerOn { seed, settings: text.to_owned() }
            }
            6 => Record::Timer { timer: TimerId(self.u32("timer")?) },
            7 => {
                let (upstream, latency) = (self.upstream()?, self.time("latency")?);
                let (outcome, report) = (self.outcome()?, self.report()?);
                Record::Probed { end: End { upstream, outcome, latency, report } }
            }
            8 => Record::Detach,
            9 => {
                let at = self.at;
                let scope = match self.u8("scope")? {
                    0 => FleetScope::Failed,
                    1 => FleetScope::Full,
                    2 => FleetScope::Cached,
                    3 => FleetScope::Changes,
                    other => return Err(WireError { at, what: format!("unknown scope {other}") }),
                };
                self.u32("version")?;
                Record::Fleet { scope, list: self.u32("list number")? }
            }
            10 => {
                let id = RequestId(self.u32("request")?);
                let attempt = AttemptNo(self.u8("attempt")?);
                let (upstream, outcome) = (self.upstream()?, self.outcome()?);
                let (latency, finished) = (self.time("latency")?, self.u8("done flag")? != 0);
                let end = End { upstream, outcome, latency, report: self.report()? };
                Record::Ended { id, attempt, finished, end }
            }
            _ => {
                let id = RequestId(self.u32("request")?);
                let class = ClassId(self.u16("class")?);
                let tenant = TenantId(self.u32("tenant")?);
                self.u64("key")?;
                let (left, hint) = (self.time("time left")?, self.f64("work hint")?);
                let flags = self.u8("flags")?;
                let work = Some(hint).filter(|w| flags & 1 != 0 && w.is_finite() && *w > 0.0);
                Record::Request { id, class, tenant, left, work, repeat: flags & 2 != 0 }
            }
        };
        Ok(Located { at, instance, record })
    }
}

/// Takes a whole batch apart, its length field included.
pub fn decode(frame: &[u8]) -> Result<(Duration, Vec<Located>), WireError> {
    let mut reader = Reader { bytes: frame, at: 0 };
    let (length, body) = (reader.u32("length")? as usize, frame.len() - 4);
    if length != body {
        return Err(WireError { at: 0, what: format!("length {length} for {body} bytes") });
    }
    let clock = reader.time("clock")?;
    let mut records = Vec::new();
    while reader.at < frame.len() {
        records.push(reader.record()?);
    }
    Ok((clock, records))
}

/// Milliseconds, with fractions.
fn to_ms(time: Duration) -> [u8; 8] {
    (time.as_secs_f64() * 1e3).to_be_bytes()
}

fn head(reply: &mut Vec<u8>, code: u8, instance: u32) {
    reply.push(code);
    reply.extend(instance.to_be_bytes());
}

fn put_upstream(reply: &mut Vec<u8>, upstream: UpstreamId) {
    reply.extend(&upstream.0.to_be_bytes()[2..]);
}

/// Adds one action to a reply begun with [`begin`].
pub fn encode(reply: &mut Vec<u8>, instance: u32, action: &Action) {
    match action {
        Action::Attempt { id, upstream, timeout } => {
            head(reply, 72, instance);
            reply.extend(id.0.to_be_bytes());
            put_upstream(reply, *upstream);
            reply.extend(timeout.map_or(0f64.to_be_bytes(), to_ms));
        }
        Action::Cancel { id, attempt } => {
            head(reply, 75, instance);
            reply.extend(id.0.to_be_bytes());
            reply.push(attempt.0);
        }
        Action::Refuse { id, retry_after } => {
            head(reply, 65, instance);
            reply.extend(id.0.to_be_bytes());
            reply.extend(retry_after.map_or(0f64.to_be_bytes(), to_ms));
        }
        Action::Fail { id } => {
            head(reply, 66, instance);
            reply.extend(id.0.to_be_bytes());
        }
        Action::Timer { after, timer } => {
            head(reply, 68, instance);
            reply.extend(to_ms(*after));
            reply.extend(timer.0.to_be_bytes());
        }
        Action::WatchFleet => {
            head(reply, 73, instance);
            reply.push(1);
        }
        Action::FetchFleet => head(reply, 71, instance),
        Action::CloseIdle { upstream } => {
            head(reply, 76, instance);
            put_upstream(reply, *upstream);
        }
        Action::Probe { upstream } => {
            head(reply, 74, instance);
            put_upstream(reply, *upstream);
        }
        Action::Log { line } => {
            head(reply, 69, instance);
            let line = &line.as_bytes()[..line.len().min(usize::from(u16::MAX))];
            reply.extend((line.len() as u16).to_be_bytes());
            reply.extend(line);
        }
    }
}

/// Starts a reply, with room for its length.
pub fn begin(reply: &mut Vec<u8>) {
    reply.clear();
    reply.extend([0; 4]);
}

/// Fills in the length.
pub fn finish(reply: &mut [u8]) {
    let length = (reply.len() - 4) as u32;
    reply[..4].copy_from_slice(&length.to_be_bytes());
}
