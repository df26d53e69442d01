//! One model's queue: bands of priority, and inside a band a fair order between organisations by
//! virtual token counters (Sheng and others, "Fairness in Serving Large Language Models", 2024).

use std::{collections::BTreeMap, time::Duration};

use shallotlead_base::{id::Request, name, time::Time};

/// Work of one generated token, in prompt tokens to compute.
pub(crate) const DECODE_WORK: f64 = 2.0;
/// Requests whose work differs by less, in tokens, count as equal.
const WORK_STEP: f64 = 1_024.0;
/// Longest wait that is reckoned with, in seconds.
const LONGEST: f64 = 3_600.0;
/// Lowest weight that counts: a weight of zero would divide by zero.
const MIN_WEIGHT: f64 = 1e-3;

/// A class of priorities. A band goes strictly before the ones below it. Inside a band fairness
/// between organisations goes before priority, so that one step of priority starves nobody.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Band {
    /// Priorities 0 to 2.
    Bulk,
    /// Priorities 3 to 6.
    Normal,
    /// Priorities 7 and 8.
    High,
    /// Priority 9: isn't held back for other work.
    Urgent,
}

impl Band {
    /// All bands, most urgent first.
    pub(crate) const ALL: [Band; 4] = [Band::Urgent, Band::High, Band::Normal, Band::Bulk];

    /// The band of `priority`.
    pub(crate) fn new(priority: u8) -> Self {
        match priority {
            0..=2 => Band::Bulk,
            3..=6 => Band::Normal,
            7..=8 => Band::High,
            _ => Band::Urgent,
        }
    }
}

/// A request that waits.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Item {
    /// The request.
    pub(crate) request: Request,
    /// Whose it is.
    pub(crate) organisation: name::Organisation,
    /// 0 (bulk) to 9 (urgent).
    pub(crate) priority: u8,
    /// When its first token is no longer of use; [`Time::MAX`] if always.
    pub(crate) deadline: Time,
    /// When it must be sent at the latest to be on time.
    pub(crate) latest: Time,
    /// Its place among equals.
    pub(crate) seq: u64,
    /// Expected work in tokens.
    pub(crate) work: f64,
}

impl Item {
    fn key(&self) -> Key {
        let work = (self.work / WORK_STEP) as u32;
        Key { rank: u8::MAX - self.priority, work, deadline: self.deadline, seq: self.seq }
    }

    fn band(&self) -> Band {
        Band::new(self.priority)
    }
}

/// Order inside one organisation: higher priority, less work, earlier deadline, earlier arrival.
///
/// Less work first keeps locality inside fairness: when not all can be served, what is cached
/// already is, and as much as possible is answered with the organisation's share.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Key {
    rank: u8,
    work: u32,
    deadline: Time,
    seq: u64,
}

/// One model's waiting requests.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    bands: BTreeMap<Band, Flows>,
    places: BTreeMap<Request, (Band, name::Organisation, Key)>,
    latest: BTreeMap<(Time, Request), ()>,
}

#[derive(Debug, Default)]
struct Flows {
    by_organisation: BTreeMap<name::Organisation, Flow>,
    /// The counter of the last organisation served: where a newcomer to an idle band begins.
    level: f64,
}

/// One organisation's share of a band.
#[derive(Debug)]
struct Flow {
    weight: f64,
    /// Work served, divided by the weight: the virtual token counter.
    served: f64,
    work: f64,
    items: BTreeMap<Key, Item>,
}

impl Queue {
    /// Requests that wait.
    pub(crate) fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether nothing waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Work that waits, in tokens.
    pub(crate) fn work(&self) -> f64 {
        self.bands.values().flat_map(|it| it.by_organisation.values()).map(|it| it.work).sum()
    }

    /// Whether `request` waits here.
    pub(crate) fn contains(&self, request: Request) -> bool {
        self.places.contains_key(&request)
    }

    /// Adds a request of an organisation that has `weight`.
    pub(crate) fn push(&mut self, item: Item, weight: f64) {
        let band = item.band();
        let flows = self.bands.entry(band).or_default();
        let floor = flows.floor();
        let flow = flows.flow(&item.organisation, weight);
        // Guards against credit saved up while idle: an organisation that was away would hold the
        // lowest counter and then shut out the others for as long as it was away. Its counter is
        // lifted to the lowest of those that wait.
        if flow.items.is_empty() {
            flow.served = flow.served.max(floor);
        }
        flow.work += item.work;
        let key = item.key();
        self.places.insert(item.request, (band, item.organisation.clone(), key));
        self.latest.insert((item.latest, item.request), ());
        flow.items.insert(key, item);
    }

    /// Takes a request out without serving it.
    pub(crate) fn remove(&mut self, request: Request) -> Option<Item> {
        let (band, organisation, key) = self.places.remove(&request)?;
        let flow = self.bands.get_mut(&band)?.by_organisation.get_mut(&organisation)?;
        let item = flow.items.remove(&key)?;
        flow.work = if flow.items.is_empty() { 0.0 } else { (flow.work - item.work).max(0.0) };
        self.latest.remove(&(item.latest, request));
        Some(item)
    }

    /// Takes a request out and counts its work as served.
    pub(crate) fn serve(&mut self, request: Request) -> Option<Item> {
        let item = self.remove(request)?;
        self.charge(item.priority, &item.organisation, item.work);
        Some(item)
    }

    /// Counts `work` tokens more (or less) as served to an organisation.
    pub(crate) fn charge(&mut self, priority: u8, organisation: &name::Organisation, work: f64) {
        let flows = self.bands.entry(Band::new(priority)).or_default();
        let Some(flow) = flows.by_organisation.get_mut(organisation) else { return };
        flow.served += work / flow.weight;
        flows.level = flows.level.max(flow.served);
    }

    /// The requests to try next in `band`: the organisations in fair order, `depth` of each.
    pub(crate) fn heads(&self, band: Band, depth: usize) -> Vec<Request> {
        let Some(flows) = self.bands.get(&band) else { return Vec::new() };
        let mut order = flows.active().collect::<Vec<_>>();
        order.sort_by(|a, b| a.1.served.total_cmp(&b.1.served).then_with(|| a.0.cmp(b.0)));
        order.iter().flat_map(|it| it.1.items.values().take(depth)).map(|it| it.request).collect()
    }

    /// Expected work in tokens that is served before `item` would be, were it pushed now.
    pub(crate) fn ahead(&self, item: &Item, weight: f64) -> f64 {
        let band = item.band();
        let above = self
            .bands
            .range(band..)
            .filter(|it| *it.0 != band)
            .flat_map(|it| it.1.by_organisation.values())
            .map(|it| it.work)
            .sum::<f64>();
        let Some(flows) = self.bands.get(&band) else { return above };
        above + flows.ahead(item, weight.max(MIN_WEIGHT))
    }

    /// Requests that can no longer be on time, removed.
    pub(crate) fn expired(&mut self, now: Time) -> Vec<Item> {
        let late =
            self.latest.keys().take_while(|it| it.0 < now).map(|it| it.1).collect::<Vec<_>>();
        late.into_iter().filter_map(|it| self.remove(it)).collect()
    }

    /// Requests that will be too late if work goes on at `rate` tokens a second, because others went
    /// before them since they came; removed.
    pub(crate) fn overtaken(&mut self, now: Time, rate: f64) -> Vec<Item> {
        let mut above = 0.0;
        let mut late = Vec::new();
        for flows in self.bands.values().rev() {
            for (organisation, flow) in flows.active() {
                let (others, owed, weights) = flows.others(organisation, flow.served);
                let weights = weights + flow.weight;
                let mut before = 0.0;
                for item in flow.items.values() {
                    let fair = owed + before * weights / flow.weight;
                    let ahead = above + fair.min(before + others);
                    if item.latest < now + Duration::from_secs_f64((ahead / rate).min(LONGEST)) {
                        late.push(item.request);
                    } else {
                        before += item.work;
                    }
                }
            }
            above += flows.by_organisation.values().map(|it| it.work).sum::<f64>();
        }
        late.into_iter().filter_map(|it| self.remove(it)).collect()
    }

    /// When the next request expires.
    pub(crate) fn next_expiry(&self) -> Option<Time> {
        self.latest.keys().next().map(|it| it.0)
    }

    /// The request to shed first: of the lowest band, of the organisation with the most work over
    /// its weight, the one with the lowest priority and the latest deadline.
    pub(crate) fn worst(&self) -> Option<Request> {
        let flows = self.bands.values().find(|it| it.active().next().is_some())?;
        let (_, flow) = flows.active().max_by(|a, b| a.1.claim().total_cmp(&b.1.claim()))?;
        flow.items.values().next_back().map(|it| it.request)
    }

    /// Sets an organisation's weight.
    pub(crate) fn weigh(&mut self, organisation: &name::Organisation, weight: f64) {
        for flows in self.bands.values_mut() {
            if let Some(flow) = flows.by_organisation.get_mut(organisation) {
                flow.weight = weight.max(MIN_WEIGHT);
            }
        }
    }
}

impl Flows {
    fn active(&self) -> impl Iterator<Item = (&name::Organisation, &Flow)> {
        self.by_organisation.iter().filter(|it| !it.1.items.is_empty())
    }

    fn floor(&self) -> f64 {
        self.active().map(|it| it.1.served).min_by(f64::total_cmp).unwrap_or(self.level)
    }

    fn flow(&mut self, organisation: &name::Organisation, weight: f64) -> &mut Flow {
        let level = self.level;
        let flow = self.by_organisation.entry(organisation.clone()).or_insert_with(|| Flow {
            weight: 1.0,
            served: level,
            work: 0.0,
            items: BTreeMap::new(),
        });
        flow.weight = weight.max(MIN_WEIGHT);
        flow
    }

    /// Work served before `item` in this band: what others are owed first, then its own
    /// organisation's earlier requests at that organisation's share; never more than all there is.
    fn ahead(&self, item: &Item, weight: f64) -> f64 {
        let own = self.by_organisation.get(&item.organisation);
        let key = item.key();
        let before = own.map_or(0.0, |it| it.items.range(..key).map(|it| it.1.work).sum());
        let served = match own {
            Some(it) if !it.items.is_empty() => it.served,
            Some(it) => it.served.max(self.floor()),
            None => self.floor(),
        };
        let (others, owed, weights) = self.others(&item.organisation, served);
        let fair = owed + before * (weights + weight) / weight;
        fair.min(before + others)
    }

    /// Work of the other organisations that waits, the part that is owed to them before one whose
    /// counter stands at `served`, and the sum of their weights.
    fn others(&self, organisation: &name::Organisation, served: f64) -> (f64, f64, f64) {
        let mut sums = (0.0, 0.0, 0.0);
        for (_, flow) in self.active().filter(|it| it.0 != organisation) {
            sums.0 += flow.work;
            sums.1 += ((served - flow.served) * flow.weight).clamp(0.0, flow.work);
            sums.2 += flow.weight;
        }
        sums
    }
}

impl Flow {
    fn claim(&self) -> f64 {
        self.work / self.weight
    }
}
