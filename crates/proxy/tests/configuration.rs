//! A start with files that are none: the balancer names what is wrong and where, and ends.

mod common;

use common::*;
use maplehook_proxy::config::Config;
use std::path::PathBuf;
use std::process::Command;

const PROGRAM: &str = env!("CARGO_BIN_EXE_maplehook");

/// A file of its own; removed when dropped.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &[u8]) -> Self {
        let path = std::env::temp_dir().join(format!("maplehook-{name}-{}", std::process::id()));
        std::fs::write(&path, text).unwrap();
        Self(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// What a start that has to come to nothing says.
fn said(command: &mut Command) -> String {
    let ended = command.env_remove("NODE_OPERATOR").env_remove("NODE_SOCKET_FD").output().unwrap();
    let said = String::from_utf8(ended.stderr).unwrap();
    // Neither a panic, which is 101, nor a signal.
    assert_eq!(ended.status.code(), Some(1), "{said}");
    said
}

/// Guards a start on the platform: each slip in its file is named with its key, and with line and column where it is one of form.
#[test]
fn a_platforms_file_that_is_wrong_is_named_and_ends_the_start() {
    let good = Setup::with(&[nobody()]).text();
    let discovery = good.split(r#""discovery":""#).nth(1).unwrap().split('"').next().unwrap().to_owned();
    for (from, to, says) in [
        (
            r#""listen":"127.0.0.1:0""#,
            r#""listen":"somewhere""#,
            "listen: invalid socket address syntax at line 1 column ",
        ),
        (r#""listen":"127.0.0.1:0","#, "", "missing field `listen`"),
        (discovery.as_str(), "nowhere", "discovery: invalid socket address syntax at line 1 column "),
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":"zzzz""#, "seed: "),
        (r#""seed":"8c1f30d27a5be964""#, r#""seed":7"#, "seed: invalid type: integer `7`"),
        (r#""sockets":256"#, r#""sockets":-1"#, "limits.sockets: invalid value: integer `-1`"),
        (r#""sockets":256"#, r#""sockets":7"#, "limits.sockets: 7 descriptors are too few"),
        (r#""sockets":256"#, r#""sockets":99999999999999999999"#, "limits.sockets: "),
        (r#""memory_mb":192"#, r#""memory_mb":1.5"#, "limits.memory_mb: "),
        (r#""me":0"#, r#""me":1"#, "settings.me: settings: index is out of range"),
        (r#""balancers":1"#, r#""balancers":0"#, "settings.balancers: settings: there are no balancers"),
        (
            r#""try_limit":5"#,
            r#""try_limit":1e309"#,
            "settings.limits.try_limit: number out of range at line 5 column ",
        ),
        (r#""try_limit":5,"#, r#""try_limit":5"#, "settings.limits: expected `,` or `}` at line 5 column "),
        (
            r#""effect":"idempotent""#,
            r#""effect":"twice""#,
            "settings.classes[0].effect: unknown effect \"twice\"",
        ),
        (
            r#""dedup_scope":"all","key_ttl_ms":5000}],"#,
            r#""dedup_scope":"town","key_ttl_ms":5000}],"#,
            "settings.classes[2].dedup_scope: ",
        ),
        (r#""name":"book""#, r#""name":"look""#, "settings.classes[1].name: \"look\" twice"),
        (r#""name":"lodge""#, r#""name":"acme""#, "settings.parties[1].name: \"acme\" twice"),
        (r#""hard_limit_ms":8000"#, r#""hard_limit_ms":1e308"#, "settings.classes[0].hard_limit_ms: "),
        (r#""hard_limit_ms":8000"#, r#""hard_limit_ms":-1"#, "settings.classes[0].hard_limit_ms: "),
        (r#""settings":"#, r#""setting":"#, "missing field `settings`"),
        (r#""me":0"#, "\"me\":0,\u{1}", "at line 3 column "),
    ] {
        assert!(good.contains(from), "{from}");
        let file = File::new("bad-platform.json", good.replacen(from, to, 1).as_bytes());
        let said = said(Command::new(PROGRAM).env("NODE_CONFIG", &file.0));
        assert!(said.contains(says), "{to}: {said}");
        assert!(said.contains(&file.0.display().to_string()), "{to}: {said}");
    }
    for (text, says) in [
        (&b""[..], "EOF while parsing a value at line 1 column 0"),
        (&b"[]"[..], "invalid "),
        (&b"{\n\"name\": \"n\xff\"}"[..], "line 2: this is no text in UTF-8"),
        (&good.as_bytes()[..good.len() / 2], "EOF while parsing"),
        (&[good.as_bytes(), &b"}"[..]].concat(), "trailing characters at line "),
        (&b"{\"a\":".repeat(100_000), "recursion limit exceeded at line 1 column "),
    ] {
        let file = File::new("no-platform.json", text);
        let said = said(Command::new(PROGRAM).env("NODE_CONFIG", &file.0));
        assert!(said.contains(says), "{says}: {said}");
    }
    let said = said(Command::new(PROGRAM).env("NODE_CONFIG", "/nowhere/config.json"));
    assert!(said.contains("/nowhere/config.json: No such file"), "{said}");
}

/// Guards `check` and the start alike: a file that is no TOML, or no text, is named with its line, however deep it goes.
#[test]
fn an_operators_file_that_is_no_toml_is_named_by_its_line() {
    let deep = format!("[admission]\nknown = {}", "[".repeat(50_000));
    for (text, says) in [
        (&b"[admission]\nreserve = = 2\n"[..], "line 2: "),
        (&b"[admission]\nreserve = 0.1\nreserve = 0.2\n"[..], "line 3: "),
        (&b"[admission\n"[..], "line 1: "),
        (&b"[admission]\nreserve = 1e999\n"[..], "line 2: admission.reserve: "),
        (&b"[admission]\nreserve = nan\n"[..], "line 2: admission.reserve: "),
        (&b"[descriptors]\n\nlimit = -1\n"[..], "line 3: descriptors.limit: "),
        (&b"[descriptors]\n\nlimit = 99999999999999999999\n"[..], "line 3: "),
        (&b"[admission]\nknown = ['x\xff']\n"[..], "line 2: this is no text in UTF-8"),
        (deep.as_bytes(), "line 2: "),
    ] {
        let file = File::new("bad-operators.toml", text);
        for words in [&["check", "--config"][..], &["run", "--config"], &["--config"]] {
            let said = said(Command::new(PROGRAM).args(words).arg(&file.0).env_remove("NODE_CONFIG"));
            assert!(said.contains(says), "{words:?} {says}: {said}");
        }
    }
}

/// Guards the start against bytes that were changed on the way: the file cut at each place, and each byte of it changed, is
/// turned down or taken, and nothing panics.
#[test]
fn a_platforms_file_with_a_changed_byte_never_panics() {
    let good = Setup::with(&[nobody()]).text();
    Config::parse(&good).unwrap();
    for at in 0..good.len() {
        assert!(Config::parse(&good[..at]).is_err(), "cut at {at}");
        for byte in ['"', '{', '-', '9'] {
            let changed = format!("{}{byte}{}", &good[..at], &good[at + 1..]);
            let _ = Config::parse(&changed);
        }
    }
}
