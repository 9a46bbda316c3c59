//! A router before balancers: it polls `GET /announce/NAME` at their operators' addresses, and sends clients to the nearest best
//! announcement. It holds an answer no longer than that is good for, counted from before it asked, and takes its own time to
//! converge. Polls can be lost, and answers held back, while it runs.

pub mod table;

use crate::hosted::Hosted;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use table::{Said, Table};
use tokio::io::{AsyncReadExt, AsyncWriteExt, copy_bidirectional};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Connections that are relayed at once, by address.
const CONNECTIONS_MOST: usize = 512;
/// Announcers that are polled.
const ANNOUNCERS_MOST: usize = 64;
/// Bytes of an answer that are read.
const ANSWER_MOST: u64 = 64 * 1024;
/// How long a poll may take, without what holds its answer back.
const ANSWER: Duration = Duration::from_millis(1500);
/// How long a connection to a balancer may take.
const CONNECT: Duration = Duration::from_secs(1);
/// Between two looks at whom clients are sent to.
const LOOK: Duration = Duration::from_millis(10);
/// Changes of routes, and clients' whereabouts, that are kept.
const ROUTES_MOST: usize = 100_000;
const SENT_MOST: usize = 8192;

/// Microseconds of the Unix clock.
pub fn unix_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Somebody who may announce.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcer {
    /// Its name.
    pub name: String,
    /// Where it is polled.
    pub operator: SocketAddr,
    /// Where clients are sent.
    pub listen: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
}

/// How a router behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Manner {
    /// Between two polls of one announcer.
    pub poll: Duration,
    /// Share of polls that are lost. 0 to 1.
    pub lost: f64,
    /// For how long answers are held back.
    pub held_back: Duration,
    /// The shortest and the longest time to converge.
    pub converges: (Duration, Duration),
}

impl Default for Manner {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Self { poll: ms(200), lost: 0.0, held_back: ms(0), converges: (ms(50), ms(250)) }
    }
}

/// From here on clients were sent elsewhere.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Routed {
    /// When, by [`unix_us`].
    pub at_us: u64,
    /// The address.
    pub address: String,
    /// The site; `None`: to nobody.
    pub site: Option<String>,
}

struct Shared {
    zone: String,
    region: String,
    began: Instant,
    announcers: Mutex<Vec<Announcer>>,
    manner: Mutex<Manner>,
    draw: Mutex<StdRng>,
    routes: Mutex<Vec<Routed>>,
    /// To whom each client's connection went.
    sent: Mutex<BTreeMap<SocketAddr, String>>,
}

/// A router; it ends when it is dropped.
pub struct Router {
    /// Its name.
    pub name: String,
    /// Whose clients come to it.
    pub zone: String,
    fronts: BTreeMap<String, Hosted>,
    shared: Arc<Shared>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Router {
    /// Starts one for the clients of a zone, with a port for each address.
    pub fn start(name: &str, zone: &str, region: &str, addresses: &[&str], seed: u64) -> Self {
        let shared = Arc::new(Shared {
            zone: zone.to_owned(),
            region: region.to_owned(),
            began: Instant::now(),
            announcers: Mutex::default(),
            manner: Mutex::default(),
            draw: Mutex::new(StdRng::seed_from_u64(seed)),
            routes: Mutex::default(),
            sent: Mutex::default(),
        });
        let front = |address: &&str| {
            let (shared, name) = (Arc::clone(&shared), (*address).to_owned());
            let hosted = Hosted::start(move |listener, ended| serve(listener, shared, name, ended));
            ((*address).to_owned(), hosted)
        };
        let fronts = addresses.iter().map(front).collect();
        Self { name: name.to_owned(), zone: zone.to_owned(), fronts, shared }
    }

    /// Where clients of an address come.
    pub fn front(&self, address: &str) -> Option<SocketAddr> {
        self.fronts.get(address).map(|hosted| hosted.address)
    }

    /// Whom it polls from now on: the first 64.
    pub fn knows(&self, mut announcers: Vec<Announcer>) {
        announcers.truncate(ANNOUNCERS_MOST);
        *lock(&self.shared.announcers) = announcers;
    }

    /// How it behaves from now on.
    pub fn behaves(&self, change: impl FnOnce(&mut Manner)) {
        change(&mut lock(&self.shared.manner));
    }

    /// To whom a client's connection went, by the client's own address; told once.
    pub fn sent_to(&self, client: SocketAddr) -> Option<String> {
        lock(&self.shared.sent).remove(&client)
    }

    /// How clients were sent so far.
    pub fn routes(&self) -> Vec<Routed> {
        lock(&self.shared.routes).clone()
    }
}

impl Shared {
    fn now(&self) -> Duration {
        self.began.elapsed()
    }

    fn known(&self, name: &str) -> Option<Announcer> {
        lock(&self.announcers).iter().find(|known| known.name == name).cloned()
    }

    /// Own zone, own region, elsewhere.
    fn distance(&self, name: &str) -> u8 {
        match self.known(name) {
            Some(known) if known.zone == self.zone => 0,
            Some(known) if known.region == self.region => 1,
            _ => 2,
        }
    }

    fn lost(&self) -> bool {
        let share = lock(&self.manner).lost.clamp(0.0, 1.0);
        share > 0.0 && lock(&self.draw).random_bool(share)
    }

    fn convergence(&self) -> Duration {
        let (least, most) = lock(&self.manner).converges;
        least + most.saturating_sub(least).mul_f64(lock(&self.draw).random::<f64>())
    }
}

async fn serve(
    listener: TcpListener,
    shared: Arc<Shared>,
    address: String,
    mut ended: watch::Receiver<bool>,
) {
    let table = Arc::new(Mutex::new(Table::default()));
    tokio::spawn(poll(Arc::clone(&shared), Arc::clone(&table), address.clone()));
    tokio::spawn(turn(Arc::clone(&shared), Arc::clone(&table), address));
    let open = Arc::new(AtomicUsize::new(0));
    let mut round = 0usize;
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            _ = ended.wait_for(|ended| *ended) => return,
        };
        let Ok((client, from)) = accepted else { continue };
        let chosen = {
            let table = lock(&table);
            let acts = table.acts(shared.now());
            round = round.wrapping_add(1);
            acts.get(round % acts.len().max(1)).and_then(|name| shared.known(name))
        };
        let Some(to) = chosen.filter(|_| open.load(Ordering::SeqCst) < CONNECTIONS_MOST) else {
            refuse(&client);
            continue;
        };
        {
            let mut sent = lock(&shared.sent);
            if sent.len() >= SENT_MOST {
                // Of clients who never asked where they were sent.
                sent.clear();
            }
            sent.insert(from, to.name);
        }
        open.fetch_add(1, Ordering::SeqCst);
        let open = Arc::clone(&open);
        tokio::spawn(async move {
            relay(client, to.listen).await;
            open.fetch_sub(1, Ordering::SeqCst);
        });
    }
}

/// With a reset: nobody is there.
fn refuse(client: &TcpStream) {
    // Where the option can't be set it ends like any.
    let _ = socket2::SockRef::from(client).set_linger(Some(Duration::ZERO));
}

async fn relay(mut client: TcpStream, to: SocketAddr) {
    let Ok(Ok(mut balancer)) = timeout(CONNECT, TcpStream::connect(to)).await else {
        refuse(&client);
        return;
    };
    // An unset option costs time, not truth.
    let _ = (client.set_nodelay(true), balancer.set_nodelay(true));
    if copy_bidirectional(&mut client, &mut balancer).await.is_err() {
        refuse(&client);
    }
}

/// Looks whom clients are to be sent to, and writes changes down.
async fn turn(shared: Arc<Shared>, table: Arc<Mutex<Table>>, address: String) {
    let mut before: Option<Option<String>> = None;
    loop {
        let site = {
            let mut table = lock(&table);
            table.keep(|name| shared.known(name).is_some());
            table.turn(shared.now(), |name| shared.distance(name), || shared.convergence());
            let now = shared.now();
            table.acts(now).first().and_then(|name| table.said(name, now)).map(|said| said.site.clone())
        };
        if before.as_ref() != Some(&site) {
            let mut routes = lock(&shared.routes);
            if routes.len() < ROUTES_MOST {
                routes.push(Routed { at_us: unix_us(), address: address.clone(), site: site.clone() });
            }
            before = Some(site);
        }
        sleep(LOOK).await;
    }
}

/// Polls all announcers, each by itself and one poll at a time.
async fn poll(shared: Arc<Shared>, table: Arc<Mutex<Table>>, address: String) {
    let waiting: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    loop {
        let (announcers, manner) = (lock(&shared.announcers).clone(), *lock(&shared.manner));
        for announcer in announcers {
            if !lock(&waiting).insert(announcer.name.clone()) {
                continue;
            }
            let (shared, table, waiting) = (Arc::clone(&shared), Arc::clone(&table), Arc::clone(&waiting));
            let path = format!("/announce/{address}");
            tokio::spawn(async move {
                let asked = shared.now();
                let answer = match shared.lost() {
                    true => None,
                    false => timeout(ANSWER, ask(announcer.operator, &path)).await.ok().flatten(),
                };
                if let Some(said) = answer {
                    sleep(manner.held_back).await;
                    // It may have been started anew elsewhere meanwhile.
                    let same =
                        shared.known(&announcer.name).is_some_and(|k| k.operator == announcer.operator);
                    if same {
                        lock(&table).heard(&announcer.name, said, asked);
                    }
                }
                lock(&waiting).remove(&announcer.name);
            });
        }
        sleep(manner.poll.max(LOOK)).await;
    }
}

/// One poll. `None`: no answer that means anything. `Some(None)`: it announces nothing.
async fn ask(operator: SocketAddr, path: &str) -> Option<Option<Said>> {
    let mut stream = TcpStream::connect(operator).await.ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {operator}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut answer = Vec::new();
    stream.take(ANSWER_MOST).read_to_end(&mut answer).await.ok()?;
    let text = String::from_utf8_lossy(&answer);
    let (head, body) = text.split_once("\r\n\r\n")?;
    match head.split(' ').nth(1)? {
        "200" => serde_json::from_str(body).ok().map(Some),
        "503" | "404" => Some(None),
        _ => None,
    }
}

#[cfg(test)]
mod tests;
