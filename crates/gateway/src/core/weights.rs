//! What this instance knows of published weights: from the store, from other instances, and from the lease record.

use std::sync::Arc;

use shallotlead_base::{hash::Set, store::Object, time::Time};

use crate::{
    adapter::{Malformed, Weights},
    broadcast::Reach,
    core::{
        Core,
        ingest::is_name,
        storage::{Basis, Source},
    },
    lease,
    pool::{self, News},
    publication::{self, Evidence},
};

/// Longest publications in a message to other instances, and in the lease record, bytes.
const MAX_PUBLICATIONS_BYTES: usize = 16 * 1024;
/// Most bytes of a publication without the model's name.
const PUBLICATION_BYTES: usize = 24;

impl Core {
    /// Applies an object with published weights.
    pub(crate) fn apply_weights(&mut self, object: &Object, basis: Basis) {
        let (model, version) = match self.parse_weights(object) {
            Ok(it) => (it.model, it.version),
            Err(err) => {
                self.log.line(self.now, "weights_unreadable").text("error", &err.to_string());
                return;
            }
        };
        let before = self.storage.stored_weights.insert(model.clone(), version).unwrap_or(0);
        let replaces = Some(before).filter(|it| basis.is_live && *it < version);
        let newest_until = basis.unchanged_until.map(|it| (before, it));
        let evidence = Evidence { replaces, newest_until, ..self.evidence(&model) };
        let publication = publication::dated(self.now, version, &evidence);
        self.apply_publication(&model, publication, Source::Store);
        self.apply_recorded_history(&model);
    }

    /// Parses published weights, whose object is named by the model.
    fn parse_weights(&self, object: &Object) -> Result<Weights, Malformed> {
        let weights = self.adapter.parse_weights(&object.value)?;
        match is_name(&weights.model) && weights.model == object.key.name {
            true => Ok(weights),
            false => Err(Malformed("it isn't named by a model".into())),
        }
    }

    /// Applies the publication of a model's weights.
    pub(crate) fn apply_publication(
        &mut self,
        model: &Arc<str>,
        publication: pool::Publication,
        source: Source,
    ) {
        let newest = self.pool.weight_versions(model).map_or(0, |it| it.newest());
        let news = self.pool.add_publication(model, publication);
        if news == News::None {
            return;
        }
        let mut line = self.log.line(self.now, "weights_named");
        line = line.text("model", model).number("version", publication.version);
        if let Some(replaced) = publication.replaces {
            line = line.number("replaces", replaced);
        }
        line.number("before", newest)
            .text("source", source.name())
            .ms("age_ms", self.now.since(publication.at));
        self.has_new_publications = true;
        self.watch_starts(model);
        if source != Source::Instance {
            self.peers.broadcasts.announce_versions(Reach::Fleet);
        }
    }

    /// Applies the publications of the lease record.
    pub(crate) fn apply_recorded_publications(&mut self, recorded: &[lease::Publication]) {
        let named = recorded.chunk_by(|a, b| a.model == b.model);
        for of_model in named.filter(|it| is_name(&it[0].model)) {
            let model = &of_model[0].model;
            let dated =
                |it: &lease::Publication| (it.version, self.clock.at_unix_ms(self.now, it.unix_ms));
            let history: Vec<_> = of_model.iter().map(dated).collect();
            let (version, at) = history[history.len() - 1];
            let before = self.recorded_weights.insert(model.clone(), history);
            if before.is_none_or(|it| it.last().is_none_or(|it| it.0 != version)) {
                self.log
                    .line(self.now, "weights_recorded")
                    .text("model", model)
                    .number("version", version)
                    .ms("age_ms", self.now.since(at));
            }
        }
        let models: Vec<_> = self.pool.all_weight_versions().map(|it| it.0.clone()).collect();
        for model in models {
            self.apply_recorded_history(&model);
        }
    }

    /// Completes what is known of a model's weights by the lease record. Versions that neither the store nor an
    /// instance has reported are not taken as published, as the store may have been restored from an older copy.
    fn apply_recorded_history(&mut self, model: &Arc<str>) {
        let Some(versions) = self.pool.weight_versions(model) else { return };
        let newest = versions.newest();
        let history = self.recorded_weights.get(model).map_or(&[][..], Vec::as_slice);
        let mut publications: Vec<_> = pool::linked(history)
            .filter(|it| it.version <= newest)
            // The record's times depend on the clocks of two machines.
            .map(|it| match versions.get(it.version) {
                Some(known) if known.at <= it.at + lease::CLOCK_TOLERANCE => {
                    pool::Publication { at: known.at, ..it }
                }
                _ => it,
            })
            .collect();
        let undated = versions
            .get(newest)
            .filter(|it| it.replaces.is_none() && it.newest_until.is_none())
            .copied();
        if let Some(undated) = undated {
            let dated = publication::dated(self.now, newest, &self.evidence(model));
            if let Some((before, until)) = dated.newest_until {
                self.log
                    .line(self.now, "weights_dated")
                    .text("model", model)
                    .number("version", newest)
                    .number("before", before)
                    .ms("age_ms", self.now.since(until));
            }
            publications.push(pool::Publication { at: undated.at, ..dated });
        }
        for it in publications {
            self.apply_publication(model, it, Source::Record);
        }
    }

    /// What the lease record tells of a model's weights.
    fn evidence(&self, model: &str) -> Evidence<'_> {
        let recorded = self.recorded_weights.get(model).map_or(&[][..], Vec::as_slice);
        let newest = recorded.last().map_or(0, |it| it.0);
        let until = |unix_ms| self.clock.at_unix_ms(self.now, unix_ms) - lease::CLOCK_TOLERANCE;
        let newest_until = self.lease.record_known_until().map(|it| (newest, until(it)));
        Evidence { replaces: None, newest_until, recorded }
    }

    /// Hands the publications that still matter to the lease, whose record keeps them, and until when they are all
    /// that there were.
    pub(crate) fn record_publications(&mut self) {
        let wall_clock_ms = self.clock.unix_ms();
        let unix_ms = |at| wall_clock_ms.saturating_sub(self.now.since(at).as_millis() as u64);
        let publications = self
            .recent_publications()
            .map(|(model, version, at)| lease::Publication { model, version, unix_ms: unix_ms(at) })
            .collect();
        let known_until = self.storage.weights_known_until(self.now).map(unix_ms);
        self.lease.set_publications(publications);
        if let Some(known_until) = known_until {
            self.lease.set_known_until(known_until);
        }
    }

    /// The publications of each model's weights that decide whether a version may still be used, oldest first. Of more than
    /// a message to other instances takes, those of the models that servers have.
    pub(crate) fn recent_publications(&self) -> impl Iterator<Item = (Arc<str>, u64, Time)> {
        let served: Set<&Arc<str>> =
            self.pool.listed().flat_map(|it| it.1.models.iter().map(|it| &it.0)).collect();
        let (first, rest): (Vec<_>, Vec<_>) =
            self.pool.all_weight_versions().partition(|it| served.contains(it.0));
        let recent = first.into_iter().chain(rest).flat_map(|(model, versions)| {
            let recent = versions.recent(self.now, self.settings.max_stale_weights);
            recent.into_iter().map(|(version, at)| (model.clone(), version, at))
        });
        let bytes = recent.scan(0, |sum, it| {
            *sum += it.0.len() + PUBLICATION_BYTES;
            Some((*sum, it))
        });
        bytes.take_while(|it| it.0 <= MAX_PUBLICATIONS_BYTES).map(|it| it.1)
    }
}
