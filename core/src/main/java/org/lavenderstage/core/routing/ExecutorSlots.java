package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The slots of one executor as one entry holds them. */
final class ExecutorSlots {
  private final boolean[] owned;
  private final boolean[] established;
  private final boolean[] busy;
  private final long[] blockedUntil;
  private final long[] loanIds;
  private final List<Borrowed> borrowed = new ArrayList<>();

  ExecutorSlots(int slots, long now) {
    owned = new boolean[slots];
    established = new boolean[slots];
    busy = new boolean[slots];
    blockedUntil = new long[slots];
    loanIds = new long[slots];
    Arrays.fill(blockedUntil, now);
  }

  boolean isOwned(int slot) {
    return owned[slot];
  }

  boolean isEstablished(int slot) {
    return established[slot];
  }

  /** Sets whether the slot belongs to this entry; a slot that does not cannot be used. */
  void own(int slot, boolean own) {
    owned[slot] = own;
    established[slot] &= own;
  }

  void establish(int slot) {
    established[slot] = true;
  }

  void dropEstablished() {
    Arrays.fill(established, false);
  }

  /** Tells whether a request or a borrower may still use the slot. */
  boolean isHeld(int slot, long now) {
    return busy[slot] || blockedUntil[slot] - now > 0;
  }

  boolean isFree(int slot, long now) {
    return established[slot] && !isHeld(slot, now);
  }

  int freeSlot(long now) {
    for (int slot = 0; slot < owned.length; slot++) {
      if (isFree(slot, now)) {
        return slot;
      }
    }
    return -1;
  }

  int freeCount(long now) {
    int count = 0;
    for (int slot = 0; slot < owned.length; slot++) {
      count += isFree(slot, now) ? 1 : 0;
    }
    return count;
  }

  void take(int slot) {
    busy[slot] = true;
  }

  void release(int slot, long restUntil) {
    busy[slot] = false;
    blockedUntil[slot] = restUntil;
  }

  void lend(int slot, long loanId, long until) {
    loanIds[slot] = loanId;
    blockedUntil[slot] = until;
  }

  /** Ends a loan early; a return of an earlier loan changes nothing. */
  void takeBack(int slot, long loanId, long now) {
    if (loanIds[slot] == loanId && !busy[slot]) {
      loanIds[slot] = 0;
      blockedUntil[slot] = now;
    }
  }

  void borrow(Borrowed loan) {
    borrowed.add(loan);
  }

  Optional<Borrowed> freeBorrowed(long now, long neededNanos) {
    for (Borrowed loan : borrowed) {
      if (!loan.busy && loan.until - now >= neededNanos) {
        return Optional.of(loan);
      }
    }
    return Optional.empty();
  }

  boolean hasFreeLoan(long now, long neededNanos) {
    return !borrowed.isEmpty() && freeBorrowed(now, neededNanos).isPresent();
  }

  int freeLoans() {
    int count = 0;
    for (Borrowed loan : borrowed) {
      count += loan.busy ? 0 : 1;
    }
    return count;
  }

  /** Ends the use of a borrowed slot; a lost request's slot is left to the end of its loan. */
  void releaseBorrowed(String lender, long loanId, boolean lost) {
    for (int i = 0; i < borrowed.size(); i++) {
      Borrowed loan = borrowed.get(i);
      if (loan.loan.id() == loanId && loan.lender.equals(lender)) {
        loan.busy = false;
        if (lost) {
          borrowed.remove(i);
        }
        return;
      }
    }
  }

  /** Takes out the loans that are idle, so that they can be returned. */
  List<Borrowed> removeIdleLoans() {
    List<Borrowed> idle = new ArrayList<>();
    for (Borrowed loan : borrowed) {
      if (!loan.busy) {
        idle.add(loan);
      }
    }
    borrowed.removeAll(idle);
    return idle;
  }

  void expireLoans(long now) {
    borrowed.removeIf(loan -> !loan.busy && loan.until - now <= 0);
  }

  int busyCount() {
    int count = 0;
    for (boolean one : busy) {
      count += one ? 1 : 0;
    }
    for (Borrowed loan : borrowed) {
      count += loan.busy ? 1 : 0;
    }
    return count;
  }

  /** Tells whether anything is in use, lent or borrowed. */
  boolean isIdle(long now) {
    for (int slot = 0; slot < owned.length; slot++) {
      if (isHeld(slot, now)) {
        return false;
      }
    }
    return borrowed.isEmpty();
  }

  /** A slot that a peer lent. */
  static final class Borrowed {
    final String lender;
    final SlotLoan loan;
    final long until;
    boolean busy;

    Borrowed(String lender, SlotLoan loan, long until) {
      this.lender = lender;
      this.loan = loan;
      this.until = until;
    }
  }
}
