//! The states of attempts and their connections, explored at random: clients leave, upstreams answer well, twice, by halves or
//! not at all, connections end and are reset, the list changes, the process stops, in every order. Time plays no part in the
//! verdict: whatever comes to pass has to keep the rules.

mod common;

use common::{BOOK, ERROR, KEYED, LOOK, Peer, TURNED_AWAY, WINDOW, asked, entry, ok, settings, upstreams};
use maplehook::parts::answer::ResponseBody;
use maplehook::parts::driver::{Answer, Driver};
use maplehook::source::{EndpointUpdate, Entry, Source, Task};
use maplehook_core::{Availability, Balancer, Settings, UpdateScope, ZoneId};
use maplehook_http_semantics::Passage;
use maplehook_test_servers::LONG;
use proptest::prelude::*;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::Instant;

/// Peers 0 and 1 share a zone, and with it the memory of keys.
const PEERS: usize = 3;

#[derive(Clone, Debug)]
enum Op {
    Ask(u16),
    Leave(usize),
    /// Something becomes of a request that an upstream has.
    Play(usize, Then),
    List(usize, Availability),
    Restart(usize),
    Stop,
    Pass,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    Answer,
    /// With a second answer behind it.
    AnswerTwice,
    Error,
    TurnAway,
    /// The head, and half of the body that it states.
    Half,
    /// The beginning of an answer without a length, and a reset.
    HalfAndReset,
    Close,
    Reset,
}

fn op() -> impl Strategy<Value = Op> {
    use Then::{Answer, AnswerTwice, Close, Error, Half, HalfAndReset, Reset, TurnAway};
    let then = prop::sample::select(vec![
        Answer,
        Answer,
        AnswerTwice,
        Error,
        TurnAway,
        Half,
        HalfAndReset,
        Close,
        Reset,
    ]);
    let state =
        prop::sample::select(vec![Availability::Ready, Availability::Draining, Availability::Removed]);
    prop_oneof![
        6 => (0_u16..3).prop_map(Op::Ask),
        1 => any::<usize>().prop_map(Op::Leave),
        8 => (any::<usize>(), then).prop_map(|(pick, then)| Op::Play(pick, then)),
        1 => (0..PEERS, state).prop_map(|(peer, state)| Op::List(peer, state)),
        1 => (0..PEERS).prop_map(Op::Restart),
        1 => Just(Op::Stop),
        1 => Just(Op::Pass),
    ]
}

/// A list that the test pushes.
struct Pushed(RefCell<mpsc::UnboundedReceiver<EndpointUpdate>>);

impl Source for Pushed {
    fn fetch(&self) -> Task<'_, EndpointUpdate> {
        Box::pin(std::future::ready(EndpointUpdate::failed()))
    }

    fn watch<'a>(&'a self, tell: &'a mut dyn FnMut(EndpointUpdate)) -> Task<'a, ()> {
        Box::pin(std::future::poll_fn(move |cx| {
            while let std::task::Poll::Ready(Some(news)) = self.0.borrow_mut().poll_recv(cx) {
                tell(news);
            }
            std::task::Poll::Pending
        }))
    }
}

/// A request of a client.
struct Asked {
    class: u16,
    task: JoinHandle<(&'static str, String)>,
    left: bool,
    passage: Rc<Passage>,
    /// Where it has come.
    runs: Vec<Run>,
}

/// An attempt that has come whole to an upstream.
struct Run {
    peer: usize,
    link: usize,
    at: Instant,
    /// The upstream has done with it.
    over: bool,
    never_ran: bool,
}

struct World {
    driver: Rc<Driver>,
    news: mpsc::UnboundedSender<EndpointUpdate>,
    peers: Vec<Peer>,
    listed: Vec<Entry>,
    asked: Vec<Asked>,
    /// Connections on which no further request may come.
    spoilt: HashSet<(usize, usize)>,
    /// Answers that upstreams have given, each in its own words.
    given: HashSet<String>,
}

impl World {
    fn start(settings: Settings, most_open: usize) -> Self {
        let peers: Vec<_> = (0..PEERS).map(|_| Peer::start()).collect();
        let ready = |(n, peer): (usize, &Peer)| Entry {
            zone: ZoneId(u8::from(n == 2)),
            ..entry(n, peer.address, Availability::Ready, 0)
        };
        let listed: Vec<_> = peers.iter().enumerate().map(ready).collect();
        let known = EndpointUpdate { scope: UpdateScope::Cached, entries: listed.clone() };
        let (news, pushed) = mpsc::unbounded_channel();
        let (upstreams, balancer) = (upstreams(&settings, most_open), Balancer::new(settings, 7).unwrap());
        let source = Rc::new(Pushed(RefCell::new(pushed)));
        let driver = Driver::start(balancer, upstreams, source, known);
        driver.follow_pushed_list();
        let (asked, spoilt, given) = Default::default();
        Self { driver, news, peers, listed, asked, spoilt, given }
    }

    /// What upstreams have and have not done with, as request and attempt.
    fn out(&self) -> Vec<(usize, usize)> {
        let runs = self.asked.iter().enumerate().flat_map(|(n, a)| (0..a.runs.len()).map(move |k| (n, k)));
        runs.filter(|(n, k)| !self.asked[*n].runs[*k].over).collect()
    }

    fn play(&mut self, op: &Op) {
        match op {
            Op::Ask(class) => self.ask(*class),
            Op::Leave(pick) => {
                let open: Vec<_> = (0..self.asked.len()).filter(|n| !self.asked[*n].left).collect();
                if let Some(n) = open.get(pick % open.len().max(1)) {
                    self.asked[*n].task.abort();
                    self.asked[*n].left = true;
                }
            }
            Op::Play(pick, then) => {
                let out = self.out();
                if let Some((n, k)) = out.get(pick % out.len().max(1)).copied() {
                    self.becomes(n, k, *then);
                }
            }
            Op::List(peer, state) => {
                self.listed[*peer].state.availability = *state;
                self.tell(*peer);
            }
            Op::Restart(peer) => {
                self.listed[*peer].state.boot_ms += 1;
                self.tell(*peer);
            }
            Op::Stop => self.driver.abort_attempts(),
            Op::Pass => {}
        }
    }

    fn ask(&mut self, class: u16) {
        let asked = asked(class, &self.asked.len().to_string());
        let passage = Rc::clone(&asked.outgoing.passage);
        let pending = self.driver.submit(asked);
        let task = spawn_local(async move {
            match pending.answer().await.0 {
                Answer::Served(served) => match served.body {
                    ResponseBody::Buffered(body) => ("served", String::from_utf8(body.to_vec()).unwrap()),
                    ResponseBody::Stream(_) => ("streams", String::new()),
                },
                Answer::Rejected(_) => ("refused", String::new()),
                Answer::Failed => ("failed", String::new()),
            }
        });
        self.asked.push(Asked { class, task, left: false, passage, runs: Vec::new() });
    }

    fn tell(&self, peer: usize) {
        let entries = vec![self.listed[peer].clone()];
        self.news.send(EndpointUpdate { scope: UpdateScope::Changes, entries }).unwrap();
    }

    /// An upstream does something about a request that it has.
    fn becomes(&mut self, n: usize, k: usize, then: Then) {
        let run = &mut self.asked[n].runs[k];
        let (peer, link) = (run.peer, run.link);
        // Nothing sensible follows half an answer.
        let then = if self.spoilt.contains(&(peer, link)) { Then::Close } else { then };
        run.over = then != Then::Half;
        run.never_ran = then == Then::TurnAway;
        let words = format!("{n} by {peer}");
        let upstream = &mut self.peers[peer];
        match then {
            Then::Answer => upstream.answer(link, &words),
            Then::AnswerTwice => upstream.write(link, &ok(&words).repeat(2)),
            Then::Error => upstream.write(link, ERROR),
            Then::TurnAway => upstream.write(link, TURNED_AWAY),
            Then::Half => upstream.write(link, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
            Then::HalfAndReset => {
                upstream.write(link, "HTTP/1.1 200 OK\r\n\r\nhalf");
                upstream.reset(link);
            }
            Then::Close => upstream.close(link),
            Then::Reset => upstream.reset(link),
        }
        if matches!(then, Then::Answer | Then::AnswerTwice) {
            self.given.insert(words);
        }
        if matches!(then, Then::AnswerTwice | Then::Half) {
            self.spoilt.insert((peer, link));
        }
    }

    /// Takes in what has come to upstreams, and holds it against the rules.
    async fn look(&mut self) {
        common::pass().await;
        let mut come = Vec::new();
        loop {
            let more = self.peers.iter_mut().enumerate().filter_map(|(n, peer)| Some((n, peer.next()?)));
            let before = come.len();
            come.extend(more);
            if come.len() == before {
                break;
            }
        }
        for (peer, come) in come {
            let n: usize = come.id.parse().unwrap();
            self.check(n, peer, come.link);
            let run = Run { peer, link: come.link, at: Instant::now(), over: false, never_ran: false };
            self.asked[n].runs.push(run);
        }
    }

    fn check(&self, n: usize, peer: usize, link: usize) {
        let Asked { class, left, runs, .. } = &self.asked[n];
        assert!(!left, "{n} is sent after its client has left");
        assert!(!self.spoilt.contains(&(peer, link)), "{n} on a spoilt connection");
        assert_eq!(self.listed[peer].state.availability, Availability::Ready, "{n} to {peer}");
        assert!(runs.len() < usize::from(settings().max_attempts), "{n}: too many attempts");
        let in_flight = |run: &Run| !run.over && !self.peers[run.peer].links[run.link].ended;
        assert!(!runs.iter().any(in_flight), "{n}: two in flight");
        for run in runs.iter().filter(|run| !run.never_ran) {
            match *class {
                LOOK => {}
                KEYED => {
                    assert!(run.at.elapsed() < WINDOW, "{n}: outside the window");
                    assert_eq!(run.peer == 2, peer == 2, "{n}: outside the group");
                }
                BOOK => panic!("{n}: an effect may happen twice"),
                _ => unreachable!(),
            }
        }
    }

    /// Ends all that is out and sees that nothing is left.
    async fn end(mut self) {
        let start = Instant::now();
        loop {
            for (n, k) in self.out() {
                self.becomes(n, k, Then::Close);
            }
            for (peer, link) in self.spoilt.clone() {
                self.peers[peer].close(link);
            }
            self.look().await;
            if self.asked.iter().all(|asked| asked.task.is_finished()) {
                break;
            }
            assert!(start.elapsed() < LONG, "a request has no answer");
        }
        for (n, asked) in self.asked.into_iter().enumerate() {
            let answer = asked.task.await;
            assert_eq!(answer.is_err(), asked.left && answer.is_err(), "{n}");
            if let Ok(("served", words)) = &answer {
                assert!(words.starts_with(&format!("{n} by ")), "{n}: another's answer: {words}");
                assert!(self.given.contains(words), "{n}: nobody's answer");
            }
            if let Ok(("refused", _)) = &answer {
                let ran = asked.runs.iter().any(|run| !run.never_ran);
                assert!(!ran || asked.class == LOOK, "{n}: refused, and it may have run");
            }
            common::settle("no entry is left over", || Rc::strong_count(&asked.passage) == 1).await;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 24,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(39),
        ..ProptestConfig::default()
    })]

    /// Guards the rules in every order of what may happen: one final answer, no forbidden repeat, no second copy where the
    /// settings forbid one, no spoilt connection used again, nothing sent for a client that has left, no entry left over.
    #[test]
    fn every_order_keeps_the_rules(
        // Without a pass in between no task runs between one and the next.
        ops in prop::collection::vec((op(), any::<bool>()), 1..60),
        cancelling in any::<bool>(),
        most_open in 1_usize..8,
    ) {
        let local = tokio::runtime::Builder::new_current_thread().enable_all().build_local(Default::default());
        local.unwrap().block_on(async {
            let mut world = World::start(Settings { can_cancel: cancelling, ..settings() }, most_open);
            for (op, pass) in &ops {
                world.play(op);
                if *pass {
                    world.look().await;
                }
            }
            world.end().await;
        });
    }
}
