/*
 * Parts of a customer's rate that are lent for a term.
 *
 * The lender does without the part from the grant until the term and the allowance for drift have passed. The
 * borrower makes tokens of it from the receipt until the term has passed since it sent its request, by its own
 * clock, which may be slow by the drift, and which it looks at whenever it makes tokens, however long it was
 * paused. Answers are late, lost or doubled; a later request renews.
 *
 * Safety: lender and borrower never make tokens of the same part at the same time.
 *
 * Mutations that the check must refute: NO_DRIFT (no allowance at the lender), FROM_RECEIPT (the borrower counts
 * from the receipt), NO_CLOCK_CHECK (the borrower trusts a timer that a pause delays), OLD_ANSWER (the borrower
 * takes the answer to an earlier request as one to its latest).
 */

#define TERM 3
#define DRIFT 1
#define HORIZON 12

#ifdef NO_DRIFT
#define DRIFT_ALLOWANCE 0
#else
#define DRIFT_ALLOWANCE DRIFT
#endif
#ifdef FROM_RECEIPT
#define TERM_START borrower_clock
#else
#define TERM_START request_sent_at
#endif
#ifdef NO_CLOCK_CHECK
#define IS_VALID is_timer_running
#else
#define IS_VALID (borrower_clock < valid_until)
#endif
#ifdef OLD_ANSWER
#define ACCEPTS_ANSWER true
#else
#define ACCEPTS_ANSWER (answer_in_flight == latest_request)
#endif

byte now;                     /* true time */
byte borrower_clock;          /* the borrower's clock */
byte ticks_since_lag = TERM;  /* ticks since the borrower's clock last missed one */
byte latest_request;          /* number of the latest request */
byte request_sent_at;         /* the borrower's clock when it sent it */
byte request_in_flight;       /* number of the request under way; 0 for none */
byte answer_in_flight;        /* number of the request whose answer is under way; 0 for none */
byte lent_until;              /* true time up to which the lender does without */
byte valid_until;             /* the borrower's clock up to which it may use the part */
bool is_timer_running;        /* whether the borrower's timer has not gone off */

active proctype System() {
	do
	:: atomic {
		if
		:: now < HORIZON ->
			now++;
			if
			:: borrower_clock++;
				if
				:: ticks_since_lag < TERM -> ticks_since_lag++
				:: else
				fi
			/* Slow by one tick in a term at most. */
			:: ticks_since_lag >= TERM -> ticks_since_lag = 0
			fi
		:: latest_request < 3 && request_in_flight == 0 ->
			latest_request++; request_sent_at = borrower_clock; request_in_flight = latest_request
		:: request_in_flight > 0 ->
			lent_until = now + TERM + DRIFT_ALLOWANCE;
			answer_in_flight = request_in_flight;
			if
			:: request_in_flight = 0
			:: skip
			fi
		:: request_in_flight > 0 -> request_in_flight = 0
		:: answer_in_flight > 0 ->
			if
			:: ACCEPTS_ANSWER -> valid_until = TERM_START + TERM; is_timer_running = true
			:: else
			fi;
			if
			:: answer_in_flight = 0
			:: skip
			fi
		:: answer_in_flight > 0 -> answer_in_flight = 0
		:: is_timer_running && borrower_clock >= valid_until -> is_timer_running = false
		:: IS_VALID -> assert(now < lent_until)
		:: else -> break
		fi
	}
	od
}
