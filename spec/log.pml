/*
 * The configuration log: a change is accepted once, applied in order and never reverted.
 *
 * Two writers append with a conditional create of the next revision. The store may lose the answer to a write that
 * took effect, or deliver a write after its writer stopped waiting. A writer reads the log back to learn whether it
 * contains its change. Two hosts receive records and snapshots late, in any order and more than once.
 *
 * Safety: a change is in the log at most once. If an operator was told "accepted", the change is in the log, and if
 * an operator was told "refused", it never is. The revision that a host applies only increases, and its state
 * equals the log's prefix up to that revision.
 *
 * Mutations that the check must refute: NO_CONDITION (a write has no condition), NO_READ_BACK (a lost answer counts
 * as a failure and the change is appended again), SKIP_GAPS (a host applies a record that is not the next one),
 * TAKE_OLDER (a host applies an older snapshot).
 */

#define REVISIONS 4
#define MAX_ATTEMPTS 3

#ifdef NO_CONDITION
#define MAY_CREATE(revision) true
#else
#define MAY_CREATE(revision) (log[revision] == 0)
#endif
#ifdef NO_READ_BACK
#define HAS_OWN_CHANGE(actor) false
#define IS_REVISION_USED(actor) true
#else
#define HAS_OWN_CHANGE(actor) (log[tried_revision[actor]] == actor + 1)
#define IS_REVISION_USED(actor) (log[tried_revision[actor]] != 0)
#endif
#ifdef SKIP_GAPS
#define IS_NEXT(actor, revision) (revision > applied_revision[actor])
#else
#define IS_NEXT(actor, revision) (revision == applied_revision[actor] + 1)
#endif
#ifdef TAKE_OLDER
#define IS_NEWER(actor, revision) (revision != applied_revision[actor])
#else
#define IS_NEWER(actor, revision) (revision > applied_revision[actor])
#endif

byte log[REVISIONS];   /* change stored at each revision, starting at 1; 0 for none */
byte latest_revision;  /* latest revision in the log */

/* State of the two writers, which append changes 1 and 2. */
byte tried_revision[2];      /* revision that the writer tries to create; 0 for none */
byte attempts[2];
byte writes_in_flight[2];    /* writes to that revision that have not arrived */
byte late_revision[2];       /* an earlier revision that a delayed write may still create; 0 for none */
bool is_write_confirmed[2];  /* the answer says that the write took effect */
bool is_outcome_unknown[2];  /* the answer was lost, or says that the condition failed */
bool accepted[2];
bool refused[2];

/* State of the two hosts. */
byte applied_revision[2];   /* latest revision that the host has applied */
byte applied_records[2];    /* bit set of the records that make up the applied state */
byte previous_revision[2];  /* revision that was applied before the last step */
byte actor;
byte revision;

/* Delivers a write to the store. */
inline deliver_write(write_revision) {
	if
	:: MAY_CREATE(write_revision) ->
		log[write_revision] = actor + 1;
		if
		:: write_revision > latest_revision -> latest_revision = write_revision
		:: else
		fi;
		if
		:: write_revision == tried_revision[actor] -> is_write_confirmed[actor] = true
		:: is_outcome_unknown[actor] = true
		fi
	:: else -> is_outcome_unknown[actor] = true
	fi
}

active proctype System() {
	do
	:: atomic {
		select(actor : 0 .. 1);
		select(revision : 1 .. 3);
		if
		/* A writer starts to create the revision after the latest. */
		:: revision == 1 && !accepted[actor] && !refused[actor] && tried_revision[actor] == 0 &&
		   attempts[actor] < MAX_ATTEMPTS && latest_revision < REVISIONS - 1 ->
			attempts[actor]++; tried_revision[actor] = latest_revision + 1; writes_in_flight[actor] = 1
		:: revision == 1 && writes_in_flight[actor] > 0 -> writes_in_flight[actor]--; deliver_write(tried_revision[actor])
		:: revision == 1 && late_revision[actor] > 0 ->
			if
			:: MAY_CREATE(late_revision[actor]) -> log[late_revision[actor]] = actor + 1
			:: else
			fi;
			late_revision[actor] = 0
		:: revision == 1 && writes_in_flight[actor] > 0 -> is_outcome_unknown[actor] = true
		:: revision == 1 && is_write_confirmed[actor] && tried_revision[actor] > 0 ->
			is_write_confirmed[actor] = false; is_outcome_unknown[actor] = false;
			tried_revision[actor] = 0; accepted[actor] = true
		/* The writer reads back. If the revision is unused, it writes there again. If the revision holds another change,
		   its own write can no longer take effect there. */
		:: revision == 1 && is_outcome_unknown[actor] && tried_revision[actor] > 0 && !IS_REVISION_USED(actor) &&
		   writes_in_flight[actor] < 2 ->
			writes_in_flight[actor]++; is_outcome_unknown[actor] = false
		:: revision == 1 && is_outcome_unknown[actor] && tried_revision[actor] > 0 && IS_REVISION_USED(actor) ->
			is_outcome_unknown[actor] = false; is_write_confirmed[actor] = false;
			if
			:: HAS_OWN_CHANGE(actor) -> accepted[actor] = true
			:: else
			fi;
			late_revision[actor] = (writes_in_flight[actor] > 0 -> tried_revision[actor] : 0);
			writes_in_flight[actor] = 0; tried_revision[actor] = 0
		/* An operator is told "refused" only while no write is being tried. */
		:: revision == 1 && tried_revision[actor] == 0 && !accepted[actor] && attempts[actor] > 0 -> refused[actor] = true
		/* A host applies a record or a snapshot. */
		:: log[revision] != 0 && IS_NEXT(actor, revision) ->
			applied_revision[actor] = revision; applied_records[actor] = applied_records[actor] | (1 << revision)
		:: revision <= latest_revision && IS_NEWER(actor, revision) ->
			applied_revision[actor] = revision; applied_records[actor] = (2 << revision) - 2
		:: else
		fi;
		actor = 0; revision = 0;
		assert((log[1] == 1) + (log[2] == 1) + (log[3] == 1) <= 1);
		assert((log[1] == 2) + (log[2] == 2) + (log[3] == 2) <= 1);
		assert(!accepted[0] || log[1] == 1 || log[2] == 1 || log[3] == 1);
		assert(!accepted[1] || log[1] == 2 || log[2] == 2 || log[3] == 2);
		assert(!refused[0] || !(log[1] == 1 || log[2] == 1 || log[3] == 1));
		assert(!refused[1] || !(log[1] == 2 || log[2] == 2 || log[3] == 2));
		assert(applied_records[0] == (2 << applied_revision[0]) - 2);
		assert(applied_records[1] == (2 << applied_revision[1]) - 2);
		assert(applied_revision[0] >= previous_revision[0] && applied_revision[1] >= previous_revision[1]);
		previous_revision[0] = applied_revision[0]; previous_revision[1] = applied_revision[1]
	}
	od
}
