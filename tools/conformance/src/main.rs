//! Prints the table of the conformance suite.

use comfy_table::{Table, presets};
use std::process::ExitCode;

fn main() -> ExitCode {
    let rows = maplehook_conformance::run_all();
    let mut table = Table::new();
    table.load_preset(presets::ASCII_MARKDOWN);
    table.set_header(["scenario", "platform", "daemon", "client", "axum", "effects", ""]);
    let mut faults = Vec::new();
    for row in &rows {
        let mut cells = vec![row.name.clone()];
        cells.extend(row.got.iter().map(|got| got.clone().unwrap_or_else(|| "-".into())));
        cells.push(row.effects.clone());
        cells.push(if row.faults.is_empty() { "same" } else { "DIFFERS" }.into());
        table.add_row(cells);
        faults.extend(row.faults.iter().map(|fault| format!("{}: {fault}", row.name)));
    }
    println!("{table}");
    println!("{} scenarios, {} faults", rows.len(), faults.len());
    faults.iter().for_each(|fault| println!("  {fault}"));
    if faults.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
