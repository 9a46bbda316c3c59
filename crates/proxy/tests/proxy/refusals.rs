//! What is refused: requests that no client means, and files that no operator does.

use crate::{CLASSES, Rig};
use std::io::Write;

/// Guards the way in against what no client means: one clear answer each, nothing of it goes on, and the next
/// request on another connection is served.
#[test]
fn what_no_client_means_has_one_clear_answer() {
    let rig = Rig::new(CLASSES);
    let headers = |n: usize| (0..n).map(|k| format!("X-{k}: 1\r\n")).collect::<String>();
    let long = format!("X: {}\r\n", "y".repeat(1 << 20));
    for (what, request) in [
        ("both lengths", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n".to_owned()),
        ("two lengths", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcd".into()),
        ("a signed length", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: +4\r\n\r\nabcd".into()),
        ("an odd coding", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n".into()),
        ("NUL in a header", "GET /x HTTP/1.1\r\nHost: a\r\nX: a\0b\r\n\r\n".into()),
        ("CR in a header", "GET /x HTTP/1.1\r\nHost: a\r\nX: a\rb\r\n\r\n".into()),
        ("two hosts", "GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".into()),
        ("no host", "GET /x HTTP/1.1\r\n\r\n".into()),
        ("a tunnel", "CONNECT a.example:80 HTTP/1.1\r\nHost: a.example:80\r\n\r\n".into()),
        ("5,000 headers", format!("GET /x HTTP/1.1\r\nHost: a\r\n{}\r\n", headers(5000))),
        ("a 1 MiB head", format!("GET /x HTTP/1.1\r\nHost: a\r\n{long}\r\n")),
        ("an odd chunk", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4;\0\r\nabcd\r\nxyz\r\n".into()),
        ("a huge chunk", "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n".into()),
        ("out of the root", "GET /../x HTTP/1.1\r\nHost: a\r\n\r\n".into()),
        ("an odd escape", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n".into()),
        ("no key", "POST /keyed/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n".into()),
        ("two keys", "POST /keyed/1 HTTP/1.1\r\nHost: a\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n\r\n".into()),
        ("another method", "PUT /book/1 HTTP/9.9\r\nHost: a\r\n\r\n".into()),
    ] {
        let mut client = rig.node.connect();
        // One that answers early may end the connection under the rest.
        let mut writer = client.writer();
        let sent = std::thread::spawn(move || writer.write_all(request.as_bytes()).is_ok());
        let answer = client.answer();
        let _ = sent.join();
        let answer = answer.unwrap_or_else(|| panic!("{what}: no answer"));
        let wanted = if matches!(what, "5,000 headers" | "a 1 MiB head") { 431 } else { 400 };
        assert!((wanted..=505).contains(&answer.status()), "{what}: {answer:?}");
        assert_eq!(rig.get("/status/200").status(), 200, "after {what}");
    }
    let gone_on: Vec<_> = rig.app.seen().into_iter().filter(|s| s.target != "/status/200").collect();
    assert!(gone_on.is_empty(), "{gone_on:?}");
    let refused = rig.node.connect().exchange("PUT /book/1 HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n");
    assert_eq!(refused.status(), 200, "the last class takes any method");
}

/// Guards an operator: `check` names each fault with its line, `run` starts nothing with one.
#[test]
fn faults_of_a_file_are_named_with_their_lines() {
    let path = std::env::temp_dir().join(format!("maplehook-check-{}.toml", std::process::id()));
    let text = "[listen]\naddress = \"somewhere\"\n[[class]]\nname = \"a\"\npath = \"days\"\neffect = \"twice\"\n\
        methods = [\"get it\"]\nbuffer_bytes = -1\nspeed = 3\n[[class]]\nname = \"a\"\n[[upstream]]\nname = \"u\"\n\
        address = \"desk.example:80\"\nweight = 0\n[headers]\nid = \"a b\"\n[balancer]\nmax_attempts = 0\n";
    std::fs::write(&path, text).unwrap();
    for words in [vec!["check"], vec!["run", "--config"]] {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_maplehook"));
        let ran = command.args(words).arg(&path).output().unwrap();
        assert!(!ran.status.success());
        let shown = String::from_utf8(ran.stderr).unwrap();
        for part in [
            "line 2: listen.address: invalid socket address",
            "line 5: class[1].path: \"days\": a pattern begins with /",
            "line 6: class[1].effect: \"twice\" is none of",
            "line 7: class[1].methods: \"get it\"",
            "line 8: class[1].buffer_bytes",
            "line 9: class[1].speed: no such key",
            "line 10: class[2].path: it needs a path",
            "line 11: class[2].name: \"a\" is empty, or the name of another",
            "line 14: upstream[1].address: \"desk.example:80\" is no IP address with a port",
            "line 15: upstream[1].weight: it has to be 0.001 to 1,000",
            "line 17: headers.id: \"a b\" is no header's name",
            "line 19: balancer.max_attempts: it has to be 1 to 20",
        ] {
            assert!(shown.contains(part), "{part} is missing in\n{shown}");
        }
    }
    std::fs::write(&path, "[[class]]\nname = \"a\"\npath = \"/**\"\n").unwrap();
    let ran =
        std::process::Command::new(env!("CARGO_BIN_EXE_maplehook")).arg("check").arg(&path).output().unwrap();
    let shown = String::from_utf8(ran.stderr).unwrap();
    assert!(shown.contains("listen.address") && shown.contains("[[upstream]] is needed"), "{shown}");
    std::fs::remove_file(path).unwrap();
}
