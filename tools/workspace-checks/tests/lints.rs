//! The lints that crates which are done deny: each finds a planted breach, and passes what is well.

use maplehook_workspace_checks::DONE_ATTRIBUTES;
use std::fs;
use std::path::PathBuf;
use std::process::Command;

/// What clippy says of a library with this text; nothing if it passes.
fn clippy(name: &str, text: &str) -> Option<String> {
    let folder: PathBuf = std::env::temp_dir().join(format!("lints-{name}-{}", std::process::id()));
    fs::create_dir_all(folder.join("src")).unwrap();
    let manifest = "[package]\nname = \"planted\"\nversion = \"0.1.0\"\nedition = \"2024\"\n[workspace]\n";
    fs::write(folder.join("Cargo.toml"), manifest).unwrap();
    fs::write(folder.join("src/lib.rs"), format!("//! Docs.\n{}\n{text}", DONE_ATTRIBUTES.join("\n")))
        .unwrap();
    let mut command = Command::new("cargo");
    command.args(["clippy", "--offline", "--quiet"]).current_dir(&folder);
    command
        .env("CLIPPY_CONF_DIR", maplehook_workspace_checks::root())
        .env("CARGO_TARGET_DIR", folder.join("target"));
    let ended = command.output().unwrap();
    fs::remove_dir_all(&folder).unwrap();
    (!ended.status.success()).then(|| String::from_utf8(ended.stderr).unwrap())
}

#[test]
fn what_is_well_passes() {
    let lines = "    std::hint::black_box(1);\n".repeat(40);
    assert_eq!(clippy("well", &format!("/// Well.\npub fn well() {{\n{lines}}}\n")), None);
}

#[test]
fn each_planted_breach_is_found() {
    let long = format!("/// Long.\npub fn long() {{\n{}}}\n", "    std::hint::black_box(1);\n".repeat(60));
    let tangled: String = (0..30).map(|n| format!("    if x == {n} {{ y += 1; }}\n")).collect();
    let tangled =
        format!("/// Tangled.\npub fn tangled(x: u8) -> u8 {{\n    let mut y = 0;\n{tangled}    y\n}}\n");
    let planted = [
        ("missing_docs", "pub fn bare() {}\n".to_owned(), "missing documentation"),
        ("too_many_lines", long, "too_many_lines"),
        ("cognitive_complexity", tangled, "cognitive_complexity"),
        ("missing_errors_doc", "/// Fails.\npub fn fails() -> Result<(), std::fmt::Error> { Ok(()) }\n".to_owned(), "missing_errors_doc"),
        ("result_large_err", "/// Large.\n///\n/// # Errors\n///\n/// Never.\npub fn large() -> Result<(), [u64; 64]> { Ok(()) }\n".to_owned(), "result_large_err"),
        ("unwrap_used", "/// Unwraps.\npub fn unwraps(x: Option<u8>) -> u8 { x.unwrap() }\n".to_owned(), "unwrap_used"),
    ];
    for (name, text, says) in planted {
        let said = clippy(name, &text);
        assert!(said.as_ref().is_some_and(|said| said.contains(says)), "{name}: {said:?}");
    }
}
