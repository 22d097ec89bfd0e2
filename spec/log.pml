/*
 * The configuration log: accepted once, in force in order, never reverted.
 *
 * Two writers append under a conditional create of the next revision; the store may lose the answer of a write that
 * took effect, or deliver a write late, after its writer gave up waiting. A writer reads back to learn whether its
 * change is there. Two hosts take records and snapshots, late, in any order and more than once.
 *
 * Safety: a change is in the log at most once; an operator who was told "accepted" finds the change there, and one
 * who was told "refused" never does; the state in force at a host only moves forward and equals the log's prefix.
 *
 * Mutations that the check must refute: NO_CONDITION (a write without the condition), NO_READ_BACK (a lost answer
 * is taken as a failure and the change is appended again), SKIP_GAPS (a host takes a record that is not the next),
 * TAKE_OLDER (a host takes an older snapshot).
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

byte log[REVISIONS];   /* change under each revision from 1; 0 for none */
byte latest_revision;  /* latest revision */

/* Writers, changes 1 and 2. */
byte tried_revision[2];      /* revision that the writer tries for; 0 for none */
byte attempts[2];
byte writes_in_flight[2];    /* writes for that place that have not arrived */
byte late_revision[2];       /* an earlier place for which a write may still arrive; 0 for none */
bool is_write_confirmed[2];  /* the answer says that it took effect */
bool is_outcome_unknown[2];  /* the answer was lost, or says that the condition did not hold */
bool accepted[2];
bool refused[2];

/* Hosts. */
byte applied_revision[2];   /* revision in force */
byte applied_records[2];    /* bits of the records that make up the state in force */
byte previous_revision[2];  /* revision in force before the last step */
byte actor;
byte revision;

/* A write arrives at the store. */
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
		/* A writer tries for the revision after the latest. */
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
		/* The writer reads back. With nothing there it writes to the same place again; with another's change there,
		   its own can no longer arrive there. */
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
		/* An operator is told "refused" only between places. */
		:: revision == 1 && tried_revision[actor] == 0 && !accepted[actor] && attempts[actor] > 0 -> refused[actor] = true
		/* A host takes a record, or a snapshot. */
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
