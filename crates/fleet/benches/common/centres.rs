//! Data centres of the sizes that the benches of this crate share: region, name, number of instances.

/// Seven instances in four data centres of one region, as in a small deployment.
pub(crate) const SEVEN: &[(&str, &str, usize)] = &[
    ("gauteng", "soweto-hall", 2),
    ("gauteng", "tembisa-hall", 2),
    ("gauteng", "pretoria-hall", 2),
    ("gauteng", "germiston-hall", 1),
];

/// 420 instances in ten data centres of three regions, the size that the design targets.
pub(crate) const FOUR_HUNDRED_AND_TWENTY: &[(&str, &str, usize)] = &[
    ("a", "a-1", 42),
    ("a", "a-2", 42),
    ("a", "a-3", 42),
    ("a", "a-4", 42),
    ("b", "b-1", 42),
    ("b", "b-2", 42),
    ("b", "b-3", 42),
    ("c", "c-1", 42),
    ("c", "c-2", 42),
    ("c", "c-3", 42),
];
