//! Records the active routing of a balancer in a history file, which a checker reads afterwards.
//!
//! A separate thread writes the file, so neither plans nor answers wait for the disk. Records are dropped and
//! counted when the queue is full or the file has reached its size limit; the file contains a note with the
//! number of dropped records.

use maplehook_history_checker::{Record, What};
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

/// Maximum number of queued records.
const MAX_QUEUED_RECORDS: usize = 4096;
/// Maximum size of the history file in bytes.
const MAX_FILE_BYTES: u64 = 256 << 20;

/// Returns the system clock as Unix time in microseconds.
pub fn unix_us() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_micros()).unwrap_or(u64::MAX)
}

/// Sender of history records; drops all records if no history file is configured.
#[derive(Clone, Debug, Default)]
pub struct HistoryWriter(Option<RecordSender>);

#[derive(Clone, Debug)]
struct RecordSender {
    by: Arc<str>,
    // `SyncSender` is wrapped in a mutex because several threads share this writer.
    queue: Arc<Mutex<SyncSender<Record>>>,
    dropped: Arc<AtomicU64>,
}

impl HistoryWriter {
    /// Opens a history file for appending, so that a restarted balancer continues the same file.
    pub fn open(path: &Path, by: &str) -> std::io::Result<Self> {
        let file = File::options().create(true).append(true).open(path)?;
        let file_bytes = file.metadata()?.len();
        let (queue, records) = sync_channel(MAX_QUEUED_RECORDS);
        let dropped = Arc::new(AtomicU64::new(0));
        let (count, name) = (Arc::clone(&dropped), by.to_owned());
        std::thread::Builder::new()
            .name("history".into())
            .stack_size(256 * 1024)
            .spawn(move || write_records(BufWriter::new(file), file_bytes, &records, &count, &name))?;
        Ok(Self(Some(RecordSender { by: by.into(), queue: Arc::new(Mutex::new(queue)), dropped })))
    }

    /// Returns true if a history file is configured.
    pub fn is_enabled(&self) -> bool {
        self.0.is_some()
    }

    /// Records an event at the current time.
    pub fn record(&self, what: What) {
        self.record_at(unix_us(), what);
    }

    /// Records an event at a given Unix time in microseconds.
    pub fn record_at(&self, at_us: u64, what: What) {
        let Some(sink) = &self.0 else { return };
        let record = Record { at_us, by: sink.by.to_string(), what };
        let queue = sink.queue.lock().unwrap_or_else(PoisonError::into_inner);
        if queue.try_send(record).is_err() {
            sink.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_records(
    mut file: BufWriter<File>,
    mut file_bytes: u64,
    records: &Receiver<Record>,
    dropped: &AtomicU64,
    by: &str,
) {
    while let Ok(record) = records.recv() {
        let mut batch = vec![record];
        batch.extend(records.try_iter().take(MAX_QUEUED_RECORDS));
        let dropped_count = dropped.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            let text = format!("{dropped_count} records are missing here");
            batch.push(Record { at_us: unix_us(), by: by.to_owned(), what: What::Note { text } });
        }
        for record in batch {
            let Ok(line) = serde_json::to_string(&record) else { continue };
            file_bytes += line.len() as u64 + 1;
            if file_bytes > MAX_FILE_BYTES {
                tracing::warn!(
                    "the history file reached its limit of {MAX_FILE_BYTES} bytes; no more records are written"
                );
                let _ = file.flush();
                return;
            }
            if let Err(e) = writeln!(file, "{line}") {
                tracing::warn!("cannot write the history file; no more records are written: {e}");
                return;
            }
        }
        // Flushes each batch so that a killed process leaves the records of its active routing.
        if let Err(e) = file.flush() {
            tracing::warn!("cannot write the history file; no more records are written: {e}");
            return;
        }
    }
}
