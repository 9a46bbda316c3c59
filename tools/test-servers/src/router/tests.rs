use super::*;
use crate::hosted::Hosted;
use crate::until;
use std::io::{ErrorKind, Read, Write};

/// An operators' server that says what it is told to, and a balancer that tells its name.
struct Fake {
    operator: Hosted,
    balancer: Hosted,
    says: Arc<Mutex<String>>,
}

fn answering(says: Arc<Mutex<String>>) -> Hosted {
    Hosted::start(move |listener, mut ended| async move {
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ended.wait_for(|ended| *ended) => return,
            };
            let Ok((mut stream, _)) = accepted else { continue };
            let says = Arc::clone(&says);
            tokio::spawn(async move {
                let _ = stream.read(&mut [0; 1024]).await;
                let says = lock(&says).clone();
                let _ = stream.write_all(says.as_bytes()).await;
            });
        }
    })
}

fn announces(site: &str, preference: u32, good_for_ms: u64) -> String {
    format!(
        "HTTP/1.1 200 OK\r\n\r\n{{\"name\":\"book\",\"address\":\"203.0.113.10:443\",\"site\":\"{site}\",\
         \"preference\":{preference},\"epoch\":3,\"good_for_ms\":{good_for_ms}}}"
    )
}

const WITHDRAWN: &str = "HTTP/1.1 503 Service Unavailable\r\n\r\n{\"why\":\"ill\"}";

impl Fake {
    fn start(name: &str) -> Self {
        let says = Arc::new(Mutex::new(WITHDRAWN.to_owned()));
        let balancer = answering(Arc::new(Mutex::new(name.to_owned())));
        Self { operator: answering(Arc::clone(&says)), balancer, says }
    }

    fn says(&self, words: String) {
        *lock(&self.says) = words;
    }

    fn announcer(&self, name: &str, zone: &str, region: &str) -> Announcer {
        let (operator, listen) = (self.operator.address, self.balancer.address);
        let (name, zone, region) = (name.to_owned(), zone.to_owned(), region.to_owned());
        Announcer { name, operator, listen, zone, region }
    }
}

/// Who answers a client. Nobody where the router refuses it: its reset may come before `connect` returns.
fn asks(router: &Router) -> (String, Option<String>) {
    let mut stream = match std::net::TcpStream::connect(router.front("book").unwrap()) {
        Ok(stream) => stream,
        Err(e) if e.kind() == ErrorKind::ConnectionReset => return (String::new(), None),
        Err(e) => panic!("{e}"),
    };
    let own = stream.local_addr().unwrap();
    let mut text = String::new();
    let _ = stream.write_all(b"hello").and_then(|()| stream.read_to_string(&mut text));
    (text, router.sent_to(own))
}

fn quick(router: &Router) {
    let ms = Duration::from_millis;
    router.behaves(|manner| (manner.poll, manner.converges) = (ms(20), (ms(0), ms(30))));
}

#[test]
fn clients_go_to_the_nearest_best_and_follow_withdrawals() {
    let (near, far) = (Fake::start("b1"), Fake::start("b2"));
    let router = Router::start("r1", "a", "north", &["book"], 1);
    quick(&router);
    router.knows(vec![near.announcer("b1", "a", "north"), far.announcer("b2", "c", "south")]);
    assert_eq!(asks(&router), (String::new(), None), "nobody announces");
    near.says(announces("north", 10, 5000));
    far.says(announces("south", 10, 5000));
    until("the nearest", || asks(&router) == ("b1".into(), Some("b1".into())));
    far.says(announces("south", 11, 5000));
    until("the best", || asks(&router).0 == "b2");
    far.says(WITHDRAWN.into());
    until("what is left", || asks(&router).0 == "b1");
    let sites: Vec<Option<String>> = router.routes().into_iter().map(|routed| routed.site).collect();
    let site = |name: &str| Some(name.to_owned());
    assert_eq!(sites.first(), Some(&None));
    assert_eq!(sites.last(), Some(&site("north")));
    assert!(sites.contains(&site("south")), "{sites:?}");
}

#[test]
fn lost_polls_end_an_announcement_when_it_is_no_longer_good() {
    let near = Fake::start("b1");
    let router = Router::start("r1", "a", "north", &["book"], 1);
    quick(&router);
    router.knows(vec![near.announcer("b1", "a", "north")]);
    near.says(announces("north", 10, 400));
    until("it announces", || asks(&router).0 == "b1");
    router.behaves(|manner| manner.lost = 1.0);
    let from = Instant::now();
    until("it has run out", || asks(&router).1.is_none());
    assert!(from.elapsed() < Duration::from_millis(900), "{:?}", from.elapsed());
    router.behaves(|manner| manner.lost = 0.0);
    until("and back", || asks(&router).0 == "b1");
}

#[test]
fn answers_that_were_held_back_for_longer_than_they_are_good_for_count_for_nothing() {
    let near = Fake::start("b1");
    let router = Router::start("r1", "a", "north", &["book"], 1);
    quick(&router);
    router.behaves(|manner| manner.held_back = Duration::from_millis(300));
    router.knows(vec![near.announcer("b1", "a", "north")]);
    near.says(announces("north", 10, 200));
    std::thread::sleep(Duration::from_millis(700));
    assert_eq!(asks(&router).1, None, "each had run out on its way");
    near.says(announces("north", 10, 2000));
    until("good for longer than it was held back", || asks(&router).0 == "b1");
}
