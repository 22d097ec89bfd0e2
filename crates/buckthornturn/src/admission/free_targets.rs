//! Targets with a free slot, to tell which of the queued requests can be served now.

use coordination::ids::TargetId;

use crate::configuration::PriorityClass;
use crate::interface::AdmissionRequest;

const CLASSES: [PriorityClass; 3] =
    [PriorityClass::Urgent, PriorityClass::Normal, PriorityClass::Archive];

/// Targets of a service with a free slot, by priority class.
pub(crate) struct FreeTargets {
    by_class: [Vec<TargetId>; CLASSES.len()],
}

impl FreeTargets {
    /// Collects the targets that requests of each class can use.
    pub(crate) fn new(targets_of: impl FnMut(PriorityClass) -> Vec<TargetId>) -> Self {
        Self { by_class: CLASSES.map(targets_of) }
    }

    /// Whether no class has a free slot.
    pub(crate) fn is_empty(&self) -> bool {
        self.by_class.iter().all(Vec::is_empty)
    }

    /// Whether a free slot is on a target that the request does not exclude.
    pub(crate) fn serve(&self, request: &AdmissionRequest) -> bool {
        let targets = self.by_class.get(request.priority as usize);
        let mut targets = targets.into_iter().flatten();
        targets.any(|target| !request.excluded.contains(target))
    }
}
