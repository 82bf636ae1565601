use nix::sys::resource::{getrlimit, Resource};

/// Most files and sockets that this process may have open, as far as it is known: the smaller one of
/// `published` and the system's own limit.
pub(crate) fn process_descriptors(published: usize) -> usize {
    let limit = getrlimit(Resource::RLIMIT_NOFILE);
    // Without a limit of the system's, only the published one holds.
    limit.map_or(published, |(soft, _)| {
        published.min(usize::try_from(soft).unwrap_or(usize::MAX))
    })
}
