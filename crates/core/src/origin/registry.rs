//! What a host knows of which build began which stream.

use super::Stream;
use crate::time::Instant;
use chestnutrack_wire::frame::OriginReport;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

/// Maximum number of streams that are remembered. The build of a further one is not known to other hosts.
const STREAMS_MAX: usize = 1 << 16;
/// Number of streams from which on those that have ended are removed.
const PRUNE_MIN: usize = 1 << 10;
/// Time for which the result of a search for a stream is kept: less than the time after which its caller comes back.
const SEARCH_RETENTION: Duration = Duration::from_millis(900);
/// Time for which the store's records are not read again for a stream that they lack.
const RECORDS_RETENTION: Duration = Duration::from_millis(900);

/// The build that began a stream.
#[derive(Clone, Debug)]
struct Origin {
    build: Arc<str>,
    /// When the stream must have ended.
    until: Instant,
}

/// A search for the build of a stream at its keepers.
#[derive(Clone, Copy, Debug)]
struct Search {
    began_at: Instant,
    /// Keepers that have not answered; `None` until they are asked.
    outstanding: Option<usize>,
    /// Whether the store's records were read, or could not be read, after the keepers had answered.
    is_read: bool,
}

/// Result of looking for the build that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Known {
    /// The stream was begun by this build.
    Build(Arc<str>),
    /// The keepers are being asked.
    Pending,
    /// No host that could be asked knows.
    Nowhere,
}

/// Builds that began streams, as far as this host knows, and what is to be told to and asked of other hosts.
#[derive(Clone, Debug, Default)]
pub struct Origins {
    streams: HashMap<Stream, Origin>,
    searches: HashMap<Stream, Search>,
    /// Streams whose keepers are to be told.
    untold: Vec<Stream>,
    /// Whether the store's records are read for streams that no keeper knows.
    reads_records: bool,
    /// When the store's records were last read.
    read_at: Option<Instant>,
    /// Whether the store's records are to be read at least once.
    is_check_wanted: bool,
    prune_at: usize,
}

impl Origins {
    /// Records that `build` began a stream that ends by `until`. The build that was recorded first counts. If `tell` is
    /// `true`, the keepers of the stream are told.
    pub fn record(
        &mut self,
        now: Instant,
        stream: Stream,
        build: &Arc<str>,
        until: Instant,
        tell: bool,
    ) {
        self.prune(now);
        let is_full = self.streams.len() >= STREAMS_MAX;
        match self.streams.get_mut(&stream) {
            Some(origin) if origin.until > now => origin.until = origin.until.max(until),
            None if is_full => return,
            _ => drop(self.streams.insert(stream, Origin { build: build.clone(), until })),
        }
        if tell {
            self.untold.push(stream);
        }
    }

    /// Records what a keeper told.
    pub fn record_reports(&mut self, now: Instant, reports: &[OriginReport]) {
        for report in reports {
            let until = now + Duration::from_millis(report.left_ms.into());
            self.record(now, report.stream.into(), &report.build, until, false);
        }
    }

    /// Records that a build is known by another name now.
    pub fn rename_build(&mut self, former: &str, build: &Arc<str>) {
        for origin in self.streams.values_mut().filter(|origin| &*origin.build == former) {
            origin.build = build.clone();
        }
    }

    /// Returns the build that began a stream, if this host knows it.
    pub fn build(&self, now: Instant, stream: Stream) -> Option<Arc<str>> {
        let origin = self.streams.get(&stream).filter(|origin| origin.until > now)?;
        Some(origin.build.clone())
    }

    /// Looks for the build that began a stream, and has the keepers asked if this host does not know it.
    pub fn find(&mut self, now: Instant, stream: Stream) -> Known {
        if let Some(build) = self.build(now, stream) {
            return Known::Build(build);
        }
        self.searches.retain(|_, search| now.since(search.began_at) < SEARCH_RETENTION);
        let unasked = Search { began_at: now, outstanding: None, is_read: false };
        let search = *self.searches.entry(stream).or_insert(unasked);
        match search.outstanding {
            Some(0) if !self.awaits_records(now, search) => Known::Nowhere,
            _ => Known::Pending,
        }
    }

    /// Has the store's records read for streams that no keeper knows.
    pub fn read_records(&mut self) {
        self.reads_records = true;
    }

    /// Returns whether the store's records have been read since this host started, and has them read if not.
    pub fn check_records(&mut self) -> bool {
        let is_checked = self.read_at.is_some() || !self.reads_records;
        self.is_check_wanted = !is_checked;
        is_checked
    }

    /// Returns whether the store's records are to be read: streams are searched for that no keeper knows, or the records
    /// have to be read once.
    pub fn needs_records(&self, now: Instant) -> bool {
        if self.is_check_wanted {
            return true;
        }
        self.searches
            .values()
            .any(|search| search.outstanding == Some(0) && self.awaits_records(now, *search))
    }

    /// Records what the store's records say, as of a list that was requested at `requested_at`; `None` if they could not be
    /// read. Records that disagree on a stream say nothing of it.
    pub fn record_stored(&mut self, now: Instant, stored: Option<(Instant, &[OriginReport])>) {
        for search in self.searches.values_mut().filter(|search| search.outstanding == Some(0)) {
            search.is_read = true;
        }
        self.is_check_wanted = false;
        let Some((requested_at, reports)) = stored else { return };
        self.read_at = Some(requested_at);
        let mut by_stream: HashMap<u64, Option<&OriginReport>> = HashMap::new();
        for report in reports {
            by_stream
                .entry(report.stream)
                .and_modify(|first| *first = first.filter(|first| first.build == report.build))
                .or_insert(Some(report));
        }
        let reports = by_stream.into_values().flatten();
        let (searched, others): (Vec<&OriginReport>, Vec<&OriginReport>) =
            reports.partition(|report| self.searches.contains_key(&report.stream.into()));
        // The others are kept for later searches, as long as room is left for streams that begin.
        let room = (STREAMS_MAX / 2).saturating_sub(self.streams.len());
        for report in searched.into_iter().chain(others.into_iter().take(room)) {
            self.record_reports(now, std::slice::from_ref(report));
        }
    }

    /// Returns whether the result of a search depends on records that are still to be read.
    fn awaits_records(&self, now: Instant, search: Search) -> bool {
        let is_fresh = self.read_at.is_some_and(|at| now.since(at) < RECORDS_RETENTION);
        self.reads_records && !search.is_read && !is_fresh
    }

    /// Has the keepers of all streams told.
    pub fn tell_all(&mut self) {
        self.untold = self.streams.keys().copied().collect();
    }

    /// Returns the streams whose keepers are to be told, and does not return them again.
    pub fn take_untold(&mut self) -> Vec<Stream> {
        std::mem::take(&mut self.untold)
    }

    /// Returns the streams whose keepers are to be asked.
    pub fn unasked(&self) -> Vec<Stream> {
        let unasked = self.searches.iter().filter(|(_, search)| search.outstanding.is_none());
        unasked.map(|(stream, _)| *stream).collect()
    }

    /// Records that a number of keepers is asked for the build of a stream.
    pub fn record_asked(&mut self, stream: Stream, keepers: usize) {
        if let Some(search) = self.searches.get_mut(&stream) {
            search.outstanding = Some(keepers);
        }
    }

    /// Records that a keeper does not know the build of a stream, or did not answer.
    pub fn record_unknown(&mut self, stream: Stream) {
        if let Some(search) = self.searches.get_mut(&stream) {
            search.outstanding = search.outstanding.map(|count| count.saturating_sub(1));
        }
    }

    /// Returns the reports on the given streams, as far as this host knows them.
    pub fn reports(
        &self,
        now: Instant,
        streams: impl IntoIterator<Item = Stream>,
    ) -> Vec<OriginReport> {
        let report = |stream: Stream| {
            let origin = self.streams.get(&stream).filter(|origin| origin.until > now)?;
            let left_ms = u32::try_from(now.millis_until(origin.until)).unwrap_or(u32::MAX);
            let build = origin.build.clone();
            Some(OriginReport { stream: stream.number(), build, left_ms, record: false })
        };
        streams.into_iter().filter_map(report).collect()
    }

    /// Returns all streams that are known, also those that have ended and are not removed yet.
    pub fn streams(&self) -> impl ExactSizeIterator<Item = Stream> {
        self.streams.keys().copied()
    }

    /// Removes streams that have ended, whenever their number has doubled.
    fn prune(&mut self, now: Instant) {
        if self.streams.len() >= self.prune_at.max(PRUNE_MIN) {
            self.streams.retain(|_, origin| origin.until > now);
            self.prune_at = self.streams.len() * 2;
        }
    }
}
