//! Errors of the operator's file, and what of it balancers share, as an earlier program said them.

use maplehook_config::{parse, parse_embedded, shared};
use maplehook_golden::assert_text;

const FILE: &str = include_str!("../../../deploy/maplehook.toml");

/// The file with every key that it shows as a comment set.
fn whole() -> String {
    FILE.lines()
        .map(|line| {
            let bare = line.strip_prefix("# ").or_else(|| line.strip_prefix('#')).unwrap_or(line);
            let is_key = bare.split_once(" = ").is_some_and(|(key, _)| {
                !key.is_empty() && key.chars().all(|c| c.is_ascii_lowercase() || c == '_')
            });
            if is_key { format!("{bare}\n") } else { format!("{line}\n") }
        })
        .collect()
}

fn said(text: &str) -> String {
    let of_file = parse(text).err().map_or("good".to_owned(), |faults| faults.to_string());
    let embedded = parse_embedded(text).err().map_or("good".to_owned(), |faults| faults.to_string());
    if of_file == embedded {
        return of_file.replace('\n', " & ");
    }
    format!("{of_file} | {embedded}").replace('\n', " & ")
}

fn errors(name: &str, file: &str) {
    let lines: Vec<&str> = file.lines().collect();
    let mut text = format!("as it is: {}\n", said(file));
    for (at, line) in
        lines.iter().enumerate().filter(|(_, line)| !line.starts_with('#') && line.contains(" = "))
    {
        let (key, _) = line.split_once(" = ").unwrap();
        for other in ["-1", "\"nonsense\"", "[]", "true", "1e300", "\"\"", "[\"x\", \"x\"]"] {
            let changed = format!("{key} = {other}");
            let mut all = lines.clone();
            all[at] = &changed;
            text += &format!("{}: {changed}: {}\n", at + 1, said(&all.join("\n")));
        }
        let unknown = format!("{key}x = 1");
        let mut all = lines.clone();
        all[at] = &unknown;
        text += &format!("{}: {unknown}: {}\n", at + 1, said(&all.join("\n")));
    }
    assert_text(name, &text);
}

#[test]
fn errors_of_the_file_as_it_is_delivered_are_as_they_were() {
    errors("errors.txt", FILE);
}

#[test]
fn errors_of_the_file_with_every_key_are_as_they_were() {
    errors("errors-every-key.txt", &whole());
}

#[test]
fn what_balancers_share_of_it_is_as_it_was() {
    let said = match shared(FILE) {
        Ok((text, left)) => format!("{text}\nleft out: {left:?}\n"),
        Err(faults) => format!("{faults}\n"),
    };
    assert_text("shared.txt", &said);
}
