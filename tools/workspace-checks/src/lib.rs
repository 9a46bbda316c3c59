//! Checks over the files of the whole workspace; all of them are in `tests/`.

#![deny(missing_docs)]

use std::fs;
use std::path::{Path, PathBuf};

/// The attributes that the root module of each crate that is done has. What they deny is shown by planted breaches.
pub const DONE_ATTRIBUTES: [&str; 2] = [
    "#![deny(missing_docs, clippy::too_many_lines, clippy::cognitive_complexity, clippy::missing_errors_doc, clippy::result_large_err)]",
    "#![cfg_attr(not(test), deny(clippy::unwrap_used))]",
];

/// The root of the workspace.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// All files of Rust under a folder, sorted, but for what was built and hidden folders.
///
/// # Panics
///
/// If a folder cannot be read.
pub fn rust_files(folder: &Path) -> Vec<PathBuf> {
    let (mut files, mut folders) = (Vec::new(), vec![folder.to_owned()]);
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder).expect("the folder is read") {
            let path = entry.expect("the entry is read").path();
            let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
            if path.is_dir() && name != "target" && !name.starts_with('.') {
                folders.push(path);
            } else if name.ends_with(".rs") {
                files.push(path);
            }
        }
    }
    files.sort();
    files
}
