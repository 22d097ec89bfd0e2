//! Hosts, targets and requests for tests of entry hosts' decisions.

use std::time::Duration;
use std::time::Instant;

use coordination::fleet::BoardHost;
use coordination::fleet::PlacementAsk;
use coordination::fleet::PlacementChoice;
use coordination::fleet::PlacementRefusal;
use coordination::fleet::TargetBoard;
use coordination::fleet::TargetEntry;
use coordination::fleet::TargetState;
use coordination::ids::RegionId;
use coordination::ids::TargetId;

/// Latency objective of the test route.
pub const OBJECTIVE: Duration = Duration::from_millis(250);

/// Part of the callers that one of three regions expects.
const CALLERS_PART: f64 = 1.0 / 3.0;

/// An entry of a ready target with six slots.
pub fn entry(target: &str, domain: &str, region: &str) -> TargetEntry {
    TargetEntry {
        target: target.into(),
        started_at: 1,
        service: "service".into(),
        address: ([127, 0, 0, 1], 3).into(),
        failure_domain: domain.into(),
        region: region.into(),
        slots: 6,
        state: TargetState::Ready,
        cold_for: Duration::ZERO,
    }
}

/// A board of a host with twelve targets in three regions of two failure domains.
pub fn board(host: &str, domain: &str, region: &str, now: Instant) -> TargetBoard {
    let own = BoardHost { host: host.into(), failure_domain: domain.into() };
    let mut board = TargetBoard::new(own, region.into(), CALLERS_PART);
    for number in 1..=12 {
        let place = (number - 1) % 6;
        let (domain, region) = (format!("d{}", place + 1), format!("r{}", place / 2 + 1));
        board.put(entry(&format!("t{number}"), &domain, &region), now);
    }
    board
}

/// A board of a host with one target, which is cold. A host that does not see all hosts sees itself only.
pub fn cold_board(host: &str, all: &[String], sees_all: bool, now: Instant) -> TargetBoard {
    let place = |name: &str| BoardHost { host: name.into(), failure_domain: "d1".into() };
    let mut board = TargetBoard::new(place(host), "r1".into(), 1.0);
    let service = ("service".into(), 9.2, Duration::from_secs(30));
    board.set_services([service].into_iter());
    board.put(TargetEntry { cold_for: Duration::from_secs(30), ..entry("t", "d1", "r1") }, now);
    if sees_all {
        board.set_hosts(all.iter().map(|name| place(name)).collect());
    }
    board
}

/// What a test request asks.
pub struct Ask {
    /// Object.
    pub object: u64,
    /// Regions where it may run.
    pub regions: Vec<RegionId>,
    /// Targets that were tried.
    pub excluded: Vec<TargetId>,
    /// Time until the answer is of no use.
    pub time_left: Duration,
}

impl Ask {
    /// A request that concerns an object.
    pub fn of_object(object: u64) -> Self {
        let time_left = Duration::from_secs(2);
        Self { object, regions: Vec::new(), excluded: Vec::new(), time_left }
    }

    /// Has a board choose a target.
    ///
    /// # Errors
    ///
    /// As the board says.
    pub fn choose(
        &self,
        board: &mut TargetBoard,
        now: Instant,
    ) -> Result<PlacementChoice, PlacementRefusal> {
        let ask = PlacementAsk {
            route: &"route".into(),
            service: &"service".into(),
            key: Some(self.object.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            regions: &self.regions,
            excluded: &self.excluded,
            time_left: self.time_left,
            objective: OBJECTIVE,
            priority: 0,
        };
        board.choose(&ask, now)
    }
}
