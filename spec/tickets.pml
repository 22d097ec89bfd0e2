/*
 * Tickets: a non-repeatable request runs at most once, and an answer of "not run" is true.
 *
 * The issuing host may die and restart with a later incarnation and without its records. The caller makes two
 * attempts with the same ticket, in any order or at once. Each attempt goes directly to the issuer or through another
 * host that forwards it. Requests and answers may be lost or delayed. The target may execute a dispatched request at
 * any later time, or never.
 *
 * Safety: the request is executed at most once, an attempt that was answered "not run" is never executed, and
 * nothing is dispatched after the answer "will not run again".
 *
 * Mutations that the check must refute: ANY_HOST (the forwarding host dispatches the request itself), NO_INCARNATION
 * (a restarted issuer dispatches a ticket of its earlier incarnation), NO_MEMORY (the issuer forgets an outcome
 * while the ticket is valid), RETRY_SENT (the issuer dispatches again after a failed send), EARLY_NOT_RUN (the issuer
 * answers "not run" when bytes may already have been sent), FORWARD_TWICE (the forwarding host sends an attempt again
 * after its first bytes were sent).
 */

#define ATTEMPTS 2

#ifdef NO_INCARNATION
#define IS_ISSUER true
#else
#define IS_ISSUER (incarnation == 1)
#endif
#ifdef ANY_HOST
#define MAY_DISPATCH(location) true
#else
#define MAY_DISPATCH(location) ((location) == at_issuer)
#endif
#ifdef FORWARD_TWICE
#define LOCATION_AFTER_FORWARD at_both
#else
#define LOCATION_AFTER_FORWARD at_issuer
#endif
#ifdef EARLY_NOT_RUN
#define ANSWERS_NOT_RUN_LATE true
#else
#define ANSWERS_NOT_RUN_LATE false
#endif
#ifdef NO_MEMORY
#define FORGETS_OUTCOME true
#else
#define FORGETS_OUTCOME false
#endif
#ifdef RETRY_SENT
#define RETRIES_SENT true
#else
#define RETRIES_SENT false
#endif

mtype = { unsent, at_forwarder, at_both, at_issuer, finished, unused, running, outcome_known };

byte incarnation = 1;               /* incarnation of the issuing host; incarnation 1 issued the ticket */
mtype issuer_record = unused;       /* the issuer's record of the ticket */
mtype location[ATTEMPTS] = unsent;  /* where the request of each attempt is */
bool not_run[ATTEMPTS];             /* whether the attempt was answered "not run" */
byte pending_dispatches[ATTEMPTS];  /* dispatches of the attempt that the target may still execute */
byte executed[ATTEMPTS];
bool is_final_answer_given;         /* whether an attempt was answered "will not run again" */
byte attempt;

inline dispatch() {
	assert(!is_final_answer_given);
	issuer_record = running;
	pending_dispatches[attempt]++
}

active proctype System() {
	do
	:: atomic {
		select(attempt : 0 .. 1);
		if
		:: location[attempt] == unsent ->
			if
			:: location[attempt] = at_issuer
			:: location[attempt] = at_forwarder
			fi
		/* The request is lost in transit. */
		:: location[attempt] != unsent -> location[attempt] = finished
		:: location[attempt] == at_forwarder -> location[attempt] = LOCATION_AFTER_FORWARD
		:: location[attempt] == at_forwarder && MAY_DISPATCH(at_forwarder) -> location[attempt] = finished; dispatch()
		/* The issuer handles the request. */
		:: location[attempt] == at_issuer || location[attempt] == at_both ->
			location[attempt] = (location[attempt] == at_both -> at_issuer : finished);
			if
			:: !IS_ISSUER -> is_final_answer_given = true
			:: IS_ISSUER && issuer_record == unused -> dispatch()
			:: IS_ISSUER && issuer_record == unused -> not_run[attempt] = true
			:: IS_ISSUER && issuer_record != unused -> skip
			fi
		/* The target executes the request, or never will. */
		:: pending_dispatches[attempt] > 0 ->
			pending_dispatches[attempt]--;
			if
			:: executed[attempt]++
			:: skip
			fi;
			if
			:: incarnation == 1 && issuer_record == running -> issuer_record = outcome_known
			:: else
			fi
		:: pending_dispatches[attempt] == 1 && issuer_record == running && incarnation == 1 && RETRIES_SENT ->
			pending_dispatches[attempt]++
		:: pending_dispatches[attempt] > 0 && ANSWERS_NOT_RUN_LATE -> not_run[attempt] = true
		:: issuer_record == outcome_known && FORGETS_OUTCOME -> issuer_record = unused
		/* The issuer dies and restarts without its records. */
		:: attempt == 0 && incarnation == 1 -> incarnation = 2; issuer_record = unused
		:: else
		fi;
		attempt = 0;
		assert(executed[0] + executed[1] <= 1);
		assert(!(not_run[0] && executed[0] > 0) && !(not_run[1] && executed[1] > 0))
	}
	od
}
