//! Rendezvous hashing: every instance orders the members for a key in the same way, and a change of
//! membership moves only the keys of the member that changed.

/// Returns the weight of a member for a key.
pub fn weight(key: &str, member: &str) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(key.len() as u64).to_le_bytes());
    hasher.update(key.as_bytes());
    hasher.update(member.as_bytes());
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Returns the members in descending order of their weight for a key.
pub fn order<'a, T>(key: &str, members: &'a [T], name: impl Fn(&T) -> &str) -> Vec<&'a T> {
    let mut weighted: Vec<(u64, &T)> =
        members.iter().map(|member| (weight(key, name(member)), member)).collect();
    weighted
        .sort_by(|left, right| right.0.cmp(&left.0).then_with(|| name(left.1).cmp(name(right.1))));
    weighted.into_iter().map(|(_, member)| member).collect()
}
