//! Who is known, and the file that says so.

use crate::common::*;
use crate::served;
use std::process::Command;

/// Guards who is known by what a request says: the tenant's header, or a signed word; a forged one does not
/// count, and the word goes to no upstream.
#[test]
fn clients_are_known_by_tenant_or_by_a_signed_word() {
    let secret = std::env::temp_dir().join(format!("maplehook-secret-{}", std::process::id()));
    std::fs::write(&secret, "a secret of 16 bytes and more\n").unwrap();
    let sign = |tenant: &str| {
        let out = Command::new(env!("CARGO_BIN_EXE_maplehook"))
            .args(["sign", "--tenant", tenant, "--for", "60", "--secret"])
            .arg(&secret)
            .output()
            .unwrap();
        String::from_utf8(out.stdout).unwrap().trim().to_owned()
    };
    let word = sign("acme");
    let upstream = Upstream::start(Then::Answer(OK));
    let mut setup = Setup::with(&[upstream.address]);
    setup.sockets = 64;
    setup.operator = format!(
        "[admission]\nreserve = 0.5\nknown_most = 1.0\nkeep_alive = 1.0\nunproven = 1.0\n\
         known_tenants = ['lodge']\n[token]\nsecret_file = '{}'\n",
        secret.display()
    );
    let node = setup.start();
    let with = |word: &str, id: &str| {
        book_as(id, "x").replacen("Cookie", &format!("X-Client-Token: {word}\r\nCookie"), 1)
    };
    let mut lodge = node.connect();
    assert_eq!(lodge.exchange(&book_as("l", "x").replace("acme", "lodge")).status(), 200);
    let mut signed = node.connect();
    assert_eq!(signed.exchange(&with(&word, "s")).status(), 200);
    let mut forged = node.connect();
    assert_eq!(forged.exchange(&with(&word.replace("acme", "lodg"), "f")).status(), 200);
    let mut another = node.connect();
    // A word for another tenant than the one that is named.
    assert_eq!(another.exchange(&with(&sign("lodge"), "o")).status(), 200);
    // Unknown clients push out unknown ones only.
    let _others = served(&node, 40);
    assert!(forged.ends() && another.ends());
    assert_eq!(lodge.exchange(&book_as("l2", "x").replace("acme", "lodge")).status(), 200);
    assert_eq!(signed.exchange(&with(&word, "s2")).status(), 200);
    assert!(upstream.seen().iter().all(|m| m.header("x-client-token").is_none()));
    std::fs::remove_file(&secret).unwrap();
}

/// Guards against a start with a file that is not what its operator meant.
#[test]
fn a_bad_operators_file_is_named_whole() {
    let path = std::env::temp_dir().join(format!("maplehook-bad-{}.toml", std::process::id()));
    std::fs::write(&path, "[admission]\nreserve = 2\nknwon = []\n").unwrap();
    for command in [None, Some("check")] {
        let out = Command::new(env!("CARGO_BIN_EXE_maplehook"))
            .arg("--config")
            .arg(&path)
            .args(command)
            .output()
            .unwrap();
        let shown = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success());
        assert!(shown.contains("line 2: admission.reserve: it has to be 0 to 0.9"), "{shown}");
        assert!(shown.contains("line 3: admission.knwon: no such key"), "{shown}");
    }
    std::fs::remove_file(&path).unwrap();
    let check = Command::new(env!("CARGO_BIN_EXE_maplehook"))
        .args(["check", "--config", concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/maplehook.toml")])
        .output()
        .unwrap();
    assert!(check.status.success(), "{}", String::from_utf8_lossy(&check.stderr));
}
