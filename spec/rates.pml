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
#define ALLOWANCE 0
#else
#define ALLOWANCE DRIFT
#endif
#ifdef FROM_RECEIPT
#define STARTS clock
#else
#define STARTS sent
#endif
#ifdef NO_CLOCK_CHECK
#define IS_VALID timer
#else
#define IS_VALID (clock < valid_until)
#endif
#ifdef OLD_ANSWER
#define IS_ANSWER true
#else
#define IS_ANSWER (answer == asked)
#endif

byte now;           /* true time */
byte clock;         /* the borrower's clock */
byte since = TERM;  /* ticks since the borrower's clock last missed one */
byte asked;         /* number of the latest request */
byte sent;          /* the borrower's clock when it sent it */
byte pending;       /* number of the request under way; 0 for none */
byte answer;        /* number of the request whose answer is under way; 0 for none */
byte lent_until;    /* true time up to which the lender does without */
byte valid_until;   /* the borrower's clock up to which it may use the part */
bool timer;         /* whether the borrower's timer has not gone off */

active proctype World() {
	do
	:: atomic {
		if
		:: now < HORIZON ->
			now++;
			if
			:: clock++;
				if
				:: since < TERM -> since++
				:: else
				fi
			/* Slow by one tick in a term at most. */
			:: since >= TERM -> since = 0
			fi
		:: asked < 3 && pending == 0 -> asked++; sent = clock; pending = asked
		:: pending > 0 ->
			lent_until = now + TERM + ALLOWANCE;
			answer = pending;
			if
			:: pending = 0
			:: skip
			fi
		:: pending > 0 -> pending = 0
		:: answer > 0 ->
			if
			:: IS_ANSWER -> valid_until = STARTS + TERM; timer = true
			:: else
			fi;
			if
			:: answer = 0
			:: skip
			fi
		:: answer > 0 -> answer = 0
		:: timer && clock >= valid_until -> timer = false
		:: IS_VALID -> assert(now < lent_until)
		:: else -> break
		fi
	}
	od
}
