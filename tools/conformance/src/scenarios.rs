//! The table.

use crate::ways::{Ask, BODY_MOST, Got, Open, Verdict, Way};
use Verdict::{Broken, Failed, Refused, Served, Unfit};
use maplehook_test_servers::app::{App, patterned};
use maplehook_test_servers::{Then, Upstream, nobody, until};
use std::net::SocketAddr;
use std::time::Duration;

/// How one scenario went.
#[derive(Debug)]
pub struct Row {
    /// Its name.
    pub name: String,
    /// What came, by way; `None` where it does not apply.
    pub got: Vec<Option<String>>,
    /// How often an effect happened, by way.
    pub effects: String,
    /// What was not as it has to be.
    pub faults: Vec<String>,
}

/// Who stands behind the balancer.
#[derive(Clone, Copy, Debug)]
enum Peer {
    App,
    Nobody,
    Raw(Then),
}

enum Standing {
    App(App),
    Nobody(SocketAddr),
    Raw(Upstream),
}

impl Standing {
    fn start(peer: Peer) -> Self {
        match peer {
            Peer::App => Self::App(App::start()),
            Peer::Nobody => Self::Nobody(nobody()),
            Peer::Raw(then) => Self::Raw(Upstream::start(then)),
        }
    }

    fn address(&self) -> SocketAddr {
        match self {
            Self::App(app) => app.address,
            Self::Nobody(address) => *address,
            Self::Raw(upstream) => upstream.address,
        }
    }

    /// Requests that came whole.
    fn seen(&self) -> usize {
        match self {
            Self::App(app) => app.seen().len(),
            Self::Nobody(_) => 0,
            Self::Raw(upstream) => upstream.seen().len(),
        }
    }

    /// Times that something ran here.
    fn effects(&self) -> usize {
        match self {
            Self::App(app) => app.effects().values().sum(),
            Self::Nobody(_) => 0,
            // Whatever came whole may have run.
            Self::Raw(upstream) => upstream.seen().len(),
        }
    }
}

/// What is done to a way in.
#[derive(Clone, Copy, Debug)]
enum Play {
    /// Asks so many times, one after another, under the same id and key.
    Again(usize),
    /// Asks so many times at once, under the same id and key.
    Together(usize),
    /// The client goes while its request is out; then it asks again.
    Leaves,
    /// A planned end begins while a request is out.
    Ends,
}

/// One line of the table.
struct Scenario {
    name: String,
    peers: Vec<Peer>,
    ask: Ask,
    play: Play,
    /// What every answer has to be on the platform, and elsewhere; `None`: it does not apply.
    platform: Option<Verdict>,
    others: Option<Verdict>,
    /// How often an effect may have happened: at least and at most.
    effects: (usize, usize),
}

fn ask(method: &'static str, target: &str) -> Ask {
    let headers = [
        ("X-Correlation-Id", "9b1f03aa"),
        ("X-Account", "acme"),
        ("X-Time-Left-Ms", "8000"),
        ("Idempotency-Key", "k-1"),
    ];
    let headers = headers.map(|(n, v)| (n.to_owned(), v.to_owned())).into();
    let body = if method == "POST" { b"two beds".to_vec() } else { Vec::new() };
    Ask { method, target: target.to_owned(), headers, body }
}

fn with(mut ask: Ask, name: &str, value: Option<&str>) -> Ask {
    ask.headers.retain(|(n, _)| n != name);
    if let Some(value) = value {
        ask.headers.push((name.to_owned(), value.to_owned()));
    }
    ask
}

const MUTE: Peer = Peer::Raw(Then::Mute);
const CLOSES: Peer = Peer::Raw(Then::Close);
const GARBAGE: Peer = Peer::Raw(Then::Answer("no answer at all\r\n\r\n"));
const TWO_LENGTHS: Peer = Peer::Raw(Then::Answer(
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
));
const TWO_ANSWERS: Peer = Peer::Raw(Then::Answer(
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndoneHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong",
));

fn scenarios() -> Vec<Scenario> {
    let mut table = Vec::new();
    let mut line = |name: &str, peers: &[Peer], ask: Ask, platform, others, effects| {
        let play = Play::Again(1);
        table.push(Scenario { name: name.into(), peers: peers.into(), ask, play, platform, others, effects });
    };
    let (app, one, none) = ([Peer::App], (1, 1), (0, 0));
    let classes = [("look", "GET"), ("book", "POST"), ("keyed", "POST")];
    for (class, method) in classes {
        let at = |rest: &str| ask(method, &format!("/{class}/{rest}"));
        let (safe, keyed) = (class == "look", class == "keyed");
        let lost = if safe { Refused } else { Failed };
        let both = |verdict: Verdict| (Some(verdict), Some(verdict));
        let (p, o) = both(Served(200));
        line(&format!("{class}: served"), &app, at("day;v=1?n=%2F+"), p, o, one);
        for status in [201, 204, 302, 404, 409] {
            let platform = Some(lost);
            line(
                &format!("{class}: {status}"),
                &app,
                at(&format!("error/{status}")),
                platform,
                Some(Served(status)),
                one,
            );
        }
        // Its own words where nothing is left to try.
        line(&format!("{class}: 500"), &app, at("error/500"), Some(lost), Some(Served(500)), one);
        let twice = if safe || keyed { (2, 2) } else { one };
        line(
            &format!("{class}: 500, another there"),
            &[Peer::App; 2],
            at("error/500"),
            Some(lost),
            Some(Served(500)),
            twice,
        );
        let (p, o) = both(Refused);
        line(&format!("{class}: turned away"), &app, at("busy"), p, o, none);
        line(&format!("{class}: nobody listens"), &[Peer::Nobody], at("day"), p, o, none);
        let (p, o) = both(Served(200));
        line(
            &format!("{class}: nobody listens, another there"),
            &[Peer::Nobody, Peer::App],
            at("day"),
            p,
            o,
            one,
        );
        let (p, o) = both(lost);
        for (name, peer) in [
            ("ends unanswered", CLOSES),
            ("answers with garbage", GARBAGE),
            ("states two lengths", TWO_LENGTHS),
        ] {
            line(&format!("{class}: {name}"), &[peer], at("day"), p, o, one);
        }
        line(
            &format!("{class}: runs and ends unanswered"),
            &[Peer::App],
            at("reset"),
            Some(lost),
            Some(lost),
            one,
        );
        let mute = with(at("day"), "X-Time-Left-Ms", Some("600"));
        line(&format!("{class}: silent"), &[MUTE], mute, Some(lost), Some(lost), one);
        line(
            &format!("{class}: breaks half way, short"),
            &app,
            at("break/2000"),
            Some(lost),
            Some(lost),
            none,
        );
        line(
            &format!("{class}: breaks half way, long"),
            &app,
            at("break/200000"),
            Some(Broken),
            Some(Broken),
            none,
        );
        line(&format!("{class}: silent half way"), &app, at("silent/200000"), None, Some(Broken), none);
        let (p, o) = both(Served(200));
        line(&format!("{class}: 200,000 bytes"), &app, at("bytes/200000"), p, o, none);
        line(&format!("{class}: 200,000 bytes in chunks"), &app, at("chunked/200000"), p, o, none);
        line(&format!("{class}: 3 MB"), &app, at("bytes/3000000"), p, o, none);
        line(&format!("{class}: events"), &app, at("events/3/20"), p, o, none);
        let (p, o) = both(Unfit(403));
        line(
            &format!("{class}: unknown account"),
            &app,
            with(at("day"), "X-Account", Some("stranger")),
            p,
            o,
            none,
        );
        let (p, o) = both(Unfit(400));
        line(&format!("{class}: odd time"), &app, with(at("day"), "X-Time-Left-Ms", Some("+80")), p, o, none);
        let mut twice = at("day");
        twice.headers.push(("Idempotency-Key".into(), "k-2".into()));
        line(&format!("{class}: two keys"), &app, twice, p, o, none);
        let nameless = || with(at("day"), "X-Correlation-Id", None);
        line(&format!("{class}: no id, refused"), &app, nameless(), p, None, none);
        line(&format!("{class}: no id, minted"), &app, nameless(), None, Some(Served(200)), one);
        if keyed {
            line("keyed: no key", &app, with(at("day"), "Idempotency-Key", None), p, o, none);
        }
        if !safe {
            let long = Ask { body: vec![0; BODY_MOST + 1], ..at("day") };
            // The platform sets no such bound for its classes.
            line(&format!("{class}: too long"), &app, long, None, Some(Unfit(413)), none);
            let longest = Ask { body: patterned(BODY_MOST), ..at("echo") };
            line(&format!("{class}: the longest"), &app, longest, Some(Served(200)), Some(Served(200)), one);
        }
        line(
            &format!("{class}: two answers at once"),
            &[TWO_ANSWERS],
            at("day"),
            Some(Served(200)),
            Some(Served(200)),
            one,
        );
    }
    let mut plays = |name: &str, peers: &[Peer], ask: Ask, play, platform, others, effects| {
        table.push(Scenario { name: name.into(), peers: peers.into(), ask, play, platform, others, effects });
    };
    for (class, method) in classes {
        let at = |rest: &str| ask(method, &format!("/{class}/{rest}"));
        let safe = class == "look";
        let ran = if safe { (3, 3) } else { one };
        plays(
            &format!("{class}: asked three times"),
            &app,
            at("day"),
            Play::Again(3),
            None,
            Some(Served(200)),
            ran,
        );
        plays(
            &format!("{class}: asked three times at once"),
            &app,
            at("slow/300"),
            Play::Together(3),
            None,
            Some(Served(200)),
            ran,
        );
        let failed = if safe { Refused } else { Failed };
        let ran = if safe { (1, 3) } else { one };
        plays(
            &format!("{class}: asked three times, ends unanswered"),
            &app,
            at("reset"),
            Play::Again(3),
            None,
            Some(failed),
            ran,
        );
        let ran = if safe { (1, 2) } else { one };
        plays(
            &format!("{class}: client leaves and asks again"),
            &app,
            at("slow/500"),
            Play::Leaves,
            None,
            Some(Served(200)),
            ran,
        );
        plays(
            &format!("{class}: planned end"),
            &app,
            at("slow/700"),
            Play::Ends,
            Some(Served(200)),
            Some(Served(200)),
            one,
        );
    }
    let refused_again = ask("POST", "/book/busy");
    plays("book: turned away three times", &app, refused_again, Play::Again(3), None, Some(Refused), none);
    table
}

/// Headers that each way sets for itself.
const OWN: [&str; 6] = ["te", "x-time-left-ms", "host", "accept", "user-agent", "content-length"];

/// A request as it came: method, target, headers.
type Sent = (String, String, Vec<(String, String)>);

/// What the first application saw, without what each way sets for itself.
fn sent(standing: &[Standing], ask: &Ask) -> Option<Sent> {
    let named = ask.headers.iter().any(|(name, _)| name == "X-Correlation-Id");
    let minted = |name: &str, value: &str| !named && name == "x-correlation-id" && value.len() == 32;
    let seen = standing.iter().find_map(|s| match s {
        Standing::App(app) => app.seen().into_iter().next(),
        _ => None,
    })?;
    let headers = seen.headers.iter().filter(|(name, _)| !OWN.contains(&name.as_str()));
    let mut headers: Vec<(String, String)> =
        headers.map(|(n, v)| (n.to_string(), v.to_str().unwrap().to_owned())).collect();
    headers.iter_mut().filter(|(n, v)| minted(n, v)).for_each(|(_, v)| *v = "minted".into());
    headers.sort();
    Some((seen.method, seen.target, headers))
}

fn play(open: &mut Open, scenario: &Scenario, standing: &[Standing]) -> Vec<Got> {
    let ask = &scenario.ask;
    let arrived = || until("the request is out", || standing.iter().any(|s| s.seen() > 0));
    match scenario.play {
        Play::Again(times) => (0..times).map(|_| open.ask(ask)).collect(),
        Play::Together(times) => {
            let pending: Vec<_> = (0..times).map(|_| open.begin(ask)).collect();
            pending.into_iter().map(|one| open.wait(one)).collect()
        }
        Play::Leaves => {
            let pending = open.begin(ask);
            arrived();
            pending.abort();
            vec![open.ask(ask)]
        }
        Play::Ends => {
            let pending = open.begin(ask);
            arrived();
            let ended = open.end();
            let got = open.wait(pending);
            ended.join().unwrap();
            vec![got]
        }
    }
}

fn run(scenario: &Scenario) -> Row {
    let mut row =
        Row { name: scenario.name.clone(), got: Vec::new(), effects: String::new(), faults: Vec::new() };
    let mut first: Option<(Way, Option<_>, Vec<u8>)> = None;
    let mut counts = Vec::new();
    for way in Way::ALL {
        let expected = if way == Way::Platform { scenario.platform } else { scenario.others };
        let Some(expected) = expected else {
            row.got.push(None);
            continue;
        };
        let standing: Vec<Standing> = scenario.peers.iter().map(|peer| Standing::start(*peer)).collect();
        let addresses: Vec<SocketAddr> = standing.iter().map(Standing::address).collect();
        let mut open = way.open(&addresses);
        let got = play(&mut open, scenario, &standing);
        let mut fault = |what: String| row.faults.push(format!("{way:?}: {what}"));
        for one in &got {
            if one.verdict != expected {
                fault(format!("{} instead of {expected}", one.verdict));
            }
            if one.verdict == Refused && !one.retry_after {
                fault("a refusal that does not say when to return".into());
            }
        }
        // Whatever is still under way has its time to do harm.
        if matches!(scenario.play, Play::Leaves) {
            std::thread::sleep(Duration::from_millis(50));
        }
        let effects: usize = standing.iter().map(Standing::effects).sum();
        counts.push(effects.to_string());
        let (least, most) = scenario.effects;
        if !(least..=most).contains(&effects) {
            fault(format!("{effects} effects instead of {least} to {most}"));
        }
        row.got.push(got.first().map(|got| got.verdict.to_string()));
        let (sent, body) =
            (sent(&standing, &scenario.ask), got.first().map(|got| got.body.clone()).unwrap_or_default());
        match &first {
            None => first = Some((way, sent, body)),
            Some((other, before, answer)) => {
                if sent != *before {
                    fault(format!("sent {sent:?}, and {other:?} {before:?}"));
                }
                let same = scenario.platform == scenario.others && matches!(expected, Served(_));
                if same && !scenario.ask.target.ends_with("/echo") && body != *answer {
                    fault(format!(
                        "{} bytes came that differ from the {} of {other:?}",
                        body.len(),
                        answer.len()
                    ));
                }
            }
        }
    }
    row.effects = counts.join(" ");
    row
}

/// Plays the whole table.
pub fn run_all() -> Vec<Row> {
    let table = scenarios();
    let next = std::sync::atomic::AtomicUsize::new(0);
    let rows: std::sync::Mutex<Vec<(usize, Row)>> = std::sync::Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                loop {
                    let n = next.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
                    let Some(scenario) = table.get(n) else { break };
                    let row = run(scenario);
                    rows.lock().unwrap().push((n, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap();
    rows.sort_by_key(|(n, _)| *n);
    rows.into_iter().map(|(_, row)| row).collect()
}
