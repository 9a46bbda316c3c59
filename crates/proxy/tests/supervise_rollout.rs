//! `maplehook supervise` with a balancer that says which program it should run, and with one that is of a tier.

mod common;

use common::supervised::*;
use common::*;
use maplehook_supervisor::control_socket::{self, ProcessInfo, SupervisorCommand};
use maplehook_supervisor::saved_state::ProgramDigest;
use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};

/// Not a test of its own: a program that stands in for a balancer with a roll-out, where its environment says so. What it says of
/// it is the file's text; `silent` is no answer, no file a 404.
#[test]
fn stand_in() {
    let (Some(own), Some(path)) =
        (std::env::var_os("STAND_IN").map(PathBuf::from), std::env::var_os(control_socket::SOCKET_VARIABLE))
    else {
        return;
    };
    let answers = |own: Option<PathBuf>| {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        std::thread::spawn(move || {
            listener.incoming().flatten().for_each(|stream| answer(stream, own.as_deref()))
        });
        address
    };
    let (operators, trial) = (answers(Some(own)), answers(None));
    let shown = ProcessInfo {
        digest: std::env::var(control_socket::DIGEST_VARIABLE).unwrap(),
        operators,
        trial,
        accepts: false,
    };
    let socket = maplehook_proxy::inherited::take().unwrap().unwrap();
    socket.set_nonblocking(false).unwrap();
    let clients = socket.try_clone().unwrap();
    control_socket::serve(Path::new(&path), socket, shown, move |word| match word {
        SupervisorCommand::Accept(tell) => {
            let clients = clients.try_clone().unwrap();
            std::thread::spawn(move || clients.incoming().flatten().for_each(|stream| answer(stream, None)));
            tell.send(()).unwrap();
        }
        SupervisorCommand::SiblingAccepts(_) => {}
        SupervisorCommand::Shutdown | SupervisorCommand::SupervisorLost => std::process::exit(3),
    })
    .unwrap();
    loop {
        std::thread::park();
    }
}

fn answer(mut stream: std::net::TcpStream, own: Option<&Path>) {
    let Some(request) = Message::read(&mut BufReader::new(&mut stream)) else { return };
    let text = match own.filter(|_| request.line.contains("/control/rollout/own")) {
        None => OK.to_owned(),
        Some(own) => match std::fs::read_to_string(own) {
            Ok(text) if text == "silent" => return,
            Ok(text) => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()),
            Err(_) => "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n".into(),
        },
    };
    // Whoever asked may have gone.
    let _ = stream.write_all(text.as_bytes());
}

fn says(place: &Place, text: &str) {
    let new = place.folder().join("own.new");
    std::fs::write(&new, text).unwrap();
    std::fs::rename(new, place.folder().join("own")).unwrap();
}

fn told(number: usize, side: &str, program: &ProgramDigest) -> String {
    format!(
        r#"{{"number":{number},"step":2,"side":"{side}","program":{{"path":"/p","digest":"{program}"}},"word":"stage 1"}}"#
    )
}

/// Guards the way of a roll-out: its program is put in place by the balancer's word, and back by its word, or once the new
/// process has not answered for too long; a balancer without one keeps what it runs.
#[test]
fn a_roll_out_changes_the_program_and_changes_it_back() {
    let mut place = Place::new("rollout");
    place.more += "cut_off_ms = 2500\n";
    let itself = std::env::current_exe().unwrap();
    let program = |n: usize| {
        place
            .script(&format!("# {n}\nexec {} --exact stand_in --nocapture >/dev/null 2>&1", itself.display()))
    };
    let (old, new) = (program(0), program(1));
    place.wants(&old);
    let supervisor = place.supervise();
    supervisor.until_said(&format!("{old} is good"));
    for (n, back) in ["old", "silent", "old"].into_iter().enumerate() {
        says(&place, &told(n, "new", &new));
        until("the new one serves", || place.present().is_some_and(|(_, of)| of == new));
        supervisor.until_said(&format!("{new} is good"));
        let text = if back == "old" { told(n, "old", &new) } else { back.to_owned() };
        says(&place, &text);
        until("the old one is back", || place.present().is_some_and(|(_, of)| of == old));
        until("the new one is gone", || place.memory().is_some_and(|memory| memory.processes.len() == 1));
    }
    assert_eq!(supervisor.said("since it has not answered for too long"), 1);
    // Without a roll-out, nothing changes.
    std::fs::remove_file(place.folder().join("own")).unwrap();
    let (pid, _) = place.present().unwrap();
    std::thread::sleep(std::time::Duration::from_millis(1200));
    assert_eq!(place.present(), Some((pid, old)));
    kill_all(&place, supervisor);
}

fn kill_all(place: &Place, mut supervisor: Supervisor) {
    supervisor.kill();
    let pids: Vec<u32> =
        place.memory().unwrap().processes.iter().filter_map(|known| Some(known.process?.0)).collect();
    pids.into_iter().for_each(|pid| signal(pid, "KILL"));
}

/// Guards the tier and the voter's log across a change: the new process is the voter as soon as the old one has let go, all see it
/// under a new start, and it acts on what is agreed; no client meets anything of it.
#[test]
fn a_voters_program_is_changed() {
    let mut place = Place::new("voter");
    let ports: Vec<std::net::SocketAddr> = (0..3).map(|_| free()).collect();
    let secret = place.folder().join("secret");
    std::fs::write(&secret, "0123456789abcdef").unwrap();
    let tier = |own: usize| {
        let state = place.folder().join(format!("tier-{own}"));
        let mut text = format!(
            "[tier]\nname = 'b{own}'\nlisten = '{}'\nsecret_file = '{}'\nstate = '{}'\n",
            ports[own],
            secret.display(),
            state.display()
        );
        for other in (0..3).filter(|other| *other != own) {
            text += &format!("[[tier.peer]]\nname = 'b{other}'\naddress = '{}'\n", ports[other]);
        }
        text + "[agreement]\nvoters = ['b0', 'b1', 'b2']\n"
    };
    let others: Vec<Node> =
        (1..3).map(|own| run(&[place.upstream.address], &format!("{CLASS}{}", tier(own)))).collect();
    let own = tier(0);
    place.more += &own;
    let (old, new) = (place.good(0), place.good(1));
    place.wants(&old);
    let supervisor = place.supervise();
    place.until_serves(&old);
    supervisor.until_said("in force here");
    let steady = Steady::start(place.address);
    for (n, program) in [&new, &old].into_iter().enumerate() {
        let before = supervisor.said("in force here");
        // An idle client keeps the old process for 2 s, in which the new one is there in its stead.
        let mut idle = std::net::TcpStream::connect(place.address).unwrap();
        idle.write_all(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        assert_eq!(Message::read(&mut BufReader::new(&mut idle)).unwrap().status(), 200);
        place.wants(program);
        supervisor.reload();
        place.until_serves(program);
        until("it takes part", || supervisor.said("cluster node started") == n + 2);
        until("it acts on what is agreed", || supervisor.said("in force here") > before);
        let gone = supervisor.lines_of("serve: gone")[n];
        for line in ["cluster node started", "operators may call"] {
            assert!(supervisor.lines_of(line)[n + 1] < gone, "{line:?} too late:\n{}", supervisor.all());
        }
        // Both hear of each other, and then one that it is alone.
        until("it is told", || supervisor.said("two=false") == n + 1);
        assert_eq!(supervisor.said("two=true"), 2 * (n + 1), "{}", supervisor.all());
    }
    assert_eq!(supervisor.said("another process holds it"), 0, "{}", supervisor.all());
    assert_eq!(supervisor.said("is in the tier"), 0, "{}", supervisor.all());
    assert_eq!(place.call("/control/tier"), Some(200));
    steady.all_served();
    supervisor.end();
    drop(others);
}
