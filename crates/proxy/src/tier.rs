//! A balancer's part in its tier, as its file says, and what operators are told of it.

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use maplehook_cluster::MemberStatus;
use maplehook_config::Tier;
use maplehook_transport::NodeStatus;
use serde::{Deserialize, Serialize};
use std::error::Error;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Descriptors beside the links: two sockets, the poller's, callers that greet.
const BASE_DESCRIPTORS: usize = 24;
/// Others that there may be links to at once, as far as descriptors are set aside for them.
const MAX_BUDGETED_PEERS: usize = 20;
/// How long an operator waits for an answer, for one to a wish (a proposal waits for the lease of whoever is lost), and the longest.
const GET_TIMEOUT: Duration = Duration::from_secs(4);
const POST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Descriptors that it may hold.
pub fn max_descriptors(tier: &Tier) -> usize {
    // A voter may lead, and then all others call it.
    let is_voter = tier.agreement.as_ref().is_some_and(|agreement| agreement.voters.contains(&tier.name));
    let peer_count = if is_voter { tier.peers.len() } else { tier.peers.len().min(MAX_BUDGETED_PEERS) };
    BASE_DESCRIPTORS + 2 * peer_count
}

/// A member as `GET /control/tier` shows it.
#[derive(Debug, Serialize, Deserialize)]
pub struct TierMember {
    /// Its name.
    pub name: String,
    /// Its start.
    pub incarnation: u64,
    /// `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Its program's version.
    pub program: String,
    /// The newest wire version that its program speaks.
    pub wire: u8,
    /// For how long that has been believed.
    pub since_ms: u64,
    /// Why it takes no part here, where it does not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub apart: Option<String>,
}

/// Counters of the ways between balancers.
#[derive(Debug, Default, Serialize, Deserialize)]
#[allow(missing_docs, reason = "docs/TIER.md has them")]
pub struct LinkCounters {
    pub datagrams_taken: u64,
    pub datagrams_refused: u64,
    pub datagrams_forged: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    pub open: u64,
    pub calls_failed: u64,
    pub broken: u64,
    pub refused: u64,
    pub messages: u64,
    pub dropped: u64,
    pub renewed: u64,
    pub stopped: u64,
    pub health: u32,
}

/// What `GET /control/tier` shows.
#[derive(Debug, Serialize, Deserialize)]
pub struct TierStatus {
    /// The balancer's name.
    pub name: String,
    /// Its start.
    pub incarnation: u64,
    /// Whether it speaks: not after a later start of its name was seen.
    pub speaks: bool,
    /// All that were seen, itself among them.
    pub members: Vec<TierMember>,
    /// Those of its file that are not here.
    pub away: Vec<String>,
    /// Upstreams that there are words of.
    pub words: usize,
    /// Counters.
    pub link: LinkCounters,
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl TierStatus {
    /// How it stands.
    pub fn of(status: &NodeStatus) -> Self {
        let local = TierMember {
            name: status.name.to_string(),
            incarnation: status.generation,
            state: "alive".into(),
            program: status.program.to_string(),
            wire: maplehook_cluster::WIRE_VERSIONS.version,
            since_ms: ms(status.uptime),
            apart: None,
        };
        let remote = |member: &MemberStatus| TierMember {
            name: member.name.to_string(),
            incarnation: member.generation,
            state: member.state.as_str().into(),
            program: member.program.to_string(),
            wire: member.wire.version,
            since_ms: ms(member.in_state_for),
            apart: member.excluded.map(|reason| reason.as_str().into()),
        };
        let (datagrams, links) = (status.datagrams, status.connections);
        Self {
            name: status.name.to_string(),
            incarnation: status.generation,
            speaks: status.is_active,
            members: std::iter::once(local).chain(status.members.iter().map(remote)).collect(),
            away: status.absent_peers.iter().map(ToString::to_string).collect(),
            words: status.gossiped_endpoints,
            link: LinkCounters {
                datagrams_taken: datagrams.accepted,
                datagrams_refused: datagrams.rejected,
                datagrams_forged: status.forged,
                datagrams_sent: datagrams.sent,
                bytes_sent: datagrams.sent_bytes,
                open: links.open,
                calls_failed: links.dial_failures,
                broken: links.lost,
                refused: links.rejected,
                messages: links.messages,
                dropped: links.dropped,
                renewed: datagrams.rejoined,
                stopped: datagrams.pauses,
                health: status.local_health,
            },
        }
    }

    /// Whether nobody of the file is missing, and this balancer speaks.
    pub fn is_complete(&self) -> bool {
        let is_healthy = |member: &TierMember| member.state == "alive" && member.apart.is_none();
        self.speaks && self.away.is_empty() && self.members.iter().all(is_healthy)
    }

    /// As a table.
    pub fn table(&self) -> String {
        let mut text =
            format!("{:<32} {:<8} {:>12} {:<10} {:>4}  start\n", "name", "state", "for", "program", "wire");
        for member in &self.members {
            let apart = member.apart.as_ref().map_or(String::new(), |why| format!("  {why}"));
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "{:<32} {:<8} {:>10} s {:<10} {:>4}  {}{apart}",
                member.name,
                member.state,
                format!("{:.1}", member.since_ms as f64 / 1e3),
                member.program,
                member.wire,
                member.incarnation
            );
        }
        let unseen = self.away.iter().filter(|name| !self.members.iter().any(|m| m.name == **name));
        for name in unseen {
            let _ = writeln!(text, "{name:<32} {:<8}", "unseen");
        }
        if !self.speaks {
            let _ = writeln!(text, "{} speaks no more: a later start of its name was seen", self.name);
        }
        text
    }
}

/// An answer at an operators' address.
pub struct AdminResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Asks a balancer's operators' address; another answer than 200 is an error.
pub fn get(address: SocketAddr, path: &str) -> Result<Bytes, Box<dyn Error>> {
    let AdminResponse { status, body } = send_request(address, path, None)?;
    if status == StatusCode::OK {
        Ok(body)
    } else {
        Err(format!("{address}: {status}: {}", String::from_utf8_lossy(&body).trim()).into())
    }
}

/// The same, with a body and its MAC.
pub fn send_request(
    address: SocketAddr,
    path: &str,
    signed_body: Option<(&str, Vec<u8>)>,
) -> Result<AdminResponse, Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let request_timeout = if signed_body.is_some() { POST_TIMEOUT } else { GET_TIMEOUT };
    let exchange = async {
        let stream = TcpStream::connect(address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(connection);
        let mut request = Request::get(path).header(HOST, address.to_string());
        let mut body = Vec::new();
        if let Some((mac, payload)) = signed_body {
            request = request.method(Method::POST).header(crate::request_signing::MAC_HEADER, mac);
            body = payload;
        }
        let response = sender.send_request(request.body(Full::new(Bytes::from(body)))?).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await?.to_bytes();
        Ok::<_, Box<dyn Error + Send + Sync>>(AdminResponse { status, body })
    };
    let result = runtime.block_on(async { timeout(request_timeout, exchange).await });
    let result = result.map_err(|_| format!("{address} does not answer"))?;
    Ok(result.map_err(|e| format!("{address}: {e}"))?)
}
