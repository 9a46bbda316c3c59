//! Status of a balancer's tier, and the client that commands use to call the admin API.

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

/// Descriptors of the tier besides peer connections: two sockets, the poller, and incoming connections that
/// have not completed the handshake.
const BASE_DESCRIPTORS: usize = 24;
/// Maximum number of peers for which a balancer that is not a voter reserves descriptors.
const MAX_BUDGETED_PEERS: usize = 20;
/// Time limit for the response to a `GET`.
const GET_TIMEOUT: Duration = Duration::from_secs(4);
/// Time limit for the response to a `POST`, which can be delayed until the lease of an unreachable member
/// expires.
const POST_TIMEOUT: Duration = Duration::from_secs(20);
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Returns the number of descriptors to reserve for the tier.
pub fn max_descriptors(tier: &Tier) -> usize {
    // A voter can become the leader, to which all other balancers connect.
    let is_voter = tier.agreement.as_ref().is_some_and(|agreement| agreement.voters.contains(&tier.name));
    let peer_count = if is_voter { tier.peers.len() } else { tier.peers.len().min(MAX_BUDGETED_PEERS) };
    BASE_DESCRIPTORS + 2 * peer_count
}

/// Tier member in the response to `GET /control/tier`.
#[derive(Debug, Serialize, Deserialize)]
pub struct TierMember {
    /// Name of the balancer, unique in the tier.
    pub name: String,
    /// Incarnation, which grows with each start of the process.
    pub incarnation: u64,
    /// State in the membership protocol: `alive`, `suspect`, `dead` or `left`.
    pub state: String,
    /// Version of the member's program.
    pub program: String,
    /// Newest wire version that the member's program supports.
    #[serde(rename = "wire")]
    pub wire_version: u8,
    /// Time that the member has been in this state, in milliseconds.
    pub since_ms: u64,
    /// Reason why this balancer excludes the member, if it does.
    #[serde(rename = "apart", default, skip_serializing_if = "Option::is_none")]
    pub exclusion_reason: Option<String>,
}

/// Counters of datagrams and connections between balancers.
#[derive(Debug, Default, Serialize, Deserialize)]
#[allow(missing_docs, reason = "docs/TIER.md has them")]
pub struct LinkCounters {
    #[serde(rename = "datagrams_taken")]
    pub datagrams_accepted: u64,
    #[serde(rename = "datagrams_refused")]
    pub datagrams_rejected: u64,
    pub datagrams_forged: u64,
    pub datagrams_sent: u64,
    pub bytes_sent: u64,
    #[serde(rename = "open")]
    pub open_connections: u64,
    #[serde(rename = "calls_failed")]
    pub dial_failures: u64,
    #[serde(rename = "broken")]
    pub lost_connections: u64,
    #[serde(rename = "refused")]
    pub rejected_connections: u64,
    pub messages: u64,
    #[serde(rename = "dropped")]
    pub dropped_messages: u64,
    #[serde(rename = "renewed")]
    pub rejoined: u64,
    #[serde(rename = "stopped")]
    pub pauses: u64,
    #[serde(rename = "health")]
    pub local_health: u32,
}

/// Response to `GET /control/tier`.
#[derive(Debug, Serialize, Deserialize)]
pub struct TierStatus {
    /// Name of the balancer that returned the status.
    pub name: String,
    /// Incarnation of the balancer's process.
    pub incarnation: u64,
    /// False once the balancer has detected a later process with its name and is inactive in the tier.
    #[serde(rename = "speaks")]
    pub is_active: bool,
    /// This balancer and all members that it has detected.
    pub members: Vec<TierMember>,
    /// Names of configured peers that are absent.
    #[serde(rename = "away")]
    pub absent_peers: Vec<String>,
    /// Number of upstreams about which gossip is known.
    #[serde(rename = "words")]
    pub gossiped_endpoints: usize,
    /// Counters of the datagrams and connections to other balancers.
    pub link: LinkCounters,
}

fn ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl TierStatus {
    /// Creates the response from the status of the local cluster node.
    pub fn from_node_status(status: &NodeStatus) -> Self {
        let local = TierMember {
            name: status.name.to_string(),
            incarnation: status.generation,
            state: "alive".into(),
            program: status.program.to_string(),
            wire_version: maplehook_cluster::WIRE_VERSIONS.version,
            since_ms: ms(status.uptime),
            exclusion_reason: None,
        };
        let remote = |member: &MemberStatus| TierMember {
            name: member.name.to_string(),
            incarnation: member.generation,
            state: member.state.as_str().into(),
            program: member.program.to_string(),
            wire_version: member.wire.version,
            since_ms: ms(member.in_state_for),
            exclusion_reason: member.excluded.map(|reason| reason.as_str().into()),
        };
        let (datagrams, links) = (status.datagrams, status.connections);
        Self {
            name: status.name.to_string(),
            incarnation: status.generation,
            is_active: status.is_active,
            members: std::iter::once(local).chain(status.members.iter().map(remote)).collect(),
            absent_peers: status.absent_peers.iter().map(ToString::to_string).collect(),
            gossiped_endpoints: status.gossiped_endpoints,
            link: LinkCounters {
                datagrams_accepted: datagrams.accepted,
                datagrams_rejected: datagrams.rejected,
                datagrams_forged: status.forged,
                datagrams_sent: datagrams.sent,
                bytes_sent: datagrams.sent_bytes,
                open_connections: links.open,
                dial_failures: links.dial_failures,
                lost_connections: links.lost,
                rejected_connections: links.rejected,
                messages: links.messages,
                dropped_messages: links.dropped,
                rejoined: datagrams.rejoined,
                pauses: datagrams.pauses,
                local_health: status.local_health,
            },
        }
    }

    /// Returns true if no configured peer is absent, all members are alive, and this balancer is active in the tier.
    pub fn is_complete(&self) -> bool {
        let is_healthy = |member: &TierMember| member.state == "alive" && member.exclusion_reason.is_none();
        self.is_active && self.absent_peers.is_empty() && self.members.iter().all(is_healthy)
    }

    /// Formats the status as a table.
    pub fn table(&self) -> String {
        let mut text =
            format!("{:<32} {:<8} {:>12} {:<10} {:>4}  start\n", "name", "state", "for", "program", "wire");
        for member in &self.members {
            let exclusion = member.exclusion_reason.as_ref().map_or(String::new(), |why| format!("  {why}"));
            // Writing to a string can't fail.
            let _ = writeln!(
                text,
                "{:<32} {:<8} {:>10} s {:<10} {:>4}  {}{exclusion}",
                member.name,
                member.state,
                format!("{:.1}", member.since_ms as f64 / 1e3),
                member.program,
                member.wire_version,
                member.incarnation
            );
        }
        let unseen = self.absent_peers.iter().filter(|name| !self.members.iter().any(|m| m.name == **name));
        for name in unseen {
            let _ = writeln!(text, "{name:<32} {:<8}", "unseen");
        }
        if !self.is_active {
            let _ = writeln!(
                text,
                "{} is inactive in the tier: a later process with its name was detected",
                self.name
            );
        }
        text
    }
}

/// Response that [`send_request`] received from an admin address.
pub struct AdminResponse {
    /// HTTP status code, which can be an error.
    pub status: StatusCode,
    /// Complete body of the response.
    pub body: Bytes,
}

/// Sends a `GET` to an admin address and returns the body. A status other than 200 is an error.
pub fn get_body(address: SocketAddr, path: &str) -> Result<Bytes, Box<dyn Error>> {
    let AdminResponse { status, body } = send_request(address, path, None)?;
    if status == StatusCode::OK {
        Ok(body)
    } else {
        Err(format!("{address}: {status}: {}", String::from_utf8_lossy(&body).trim()).into())
    }
}

/// Sends a `GET`, or a `POST` if a body and its MAC are given, and returns the response with any status.
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
    let result = result.map_err(|_| format!("{address} did not respond in time"))?;
    Ok(result.map_err(|e| format!("{address}: {e}"))?)
}
