package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The slots of one executor as one entry holds them. */
final class ExecutorSlots {
  private final boolean[] owned;
  private final boolean[] confirmed;
  private final boolean[] busy;
  private final long[] blockedUntil;
  private final long[] loanIds;
  private final List<BorrowedSlot> borrowed = new ArrayList<>();

  ExecutorSlots(int slots, long now) {
    owned = new boolean[slots];
    confirmed = new boolean[slots];
    busy = new boolean[slots];
    blockedUntil = new long[slots];
    loanIds = new long[slots];
    Arrays.fill(blockedUntil, now);
  }

  boolean isOwned(int slot) {
    return owned[slot];
  }

  boolean isConfirmed(int slot) {
    return confirmed[slot];
  }

  /** Sets whether the slot belongs to this entry; a slot that does not cannot be used. */
  void setOwned(int slot, boolean isOwner) {
    owned[slot] = isOwner;
    confirmed[slot] &= isOwner;
  }

  void confirm(int slot) {
    confirmed[slot] = true;
  }

  void clearConfirmed() {
    Arrays.fill(confirmed, false);
  }

  /** Tells whether a request or a borrower may still use the slot. */
  boolean isInUse(int slot, long now) {
    return busy[slot] || blockedUntil[slot] - now > 0;
  }

  boolean isFree(int slot, long now) {
    return confirmed[slot] && !isInUse(slot, now);
  }

  int findFreeSlot(long now) {
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

  void acquire(int slot) {
    busy[slot] = true;
  }

  void release(int slot, long blockUntil) {
    busy[slot] = false;
    blockedUntil[slot] = blockUntil;
  }

  void lend(int slot, long loanId, long until) {
    loanIds[slot] = loanId;
    blockedUntil[slot] = until;
  }

  /** Ends a loan early; a return of an earlier loan changes nothing. */
  void endLoan(int slot, long loanId, long now) {
    if (loanIds[slot] == loanId && !busy[slot]) {
      loanIds[slot] = 0;
      blockedUntil[slot] = now;
    }
  }

  void addBorrowed(BorrowedSlot loan) {
    borrowed.add(loan);
  }

  Optional<BorrowedSlot> findFreeBorrowed(long now, long neededNanos) {
    for (BorrowedSlot loan : borrowed) {
      if (!loan.busy && loan.until - now >= neededNanos) {
        return Optional.of(loan);
      }
    }
    return Optional.empty();
  }

  boolean hasFreeBorrowed(long now, long neededNanos) {
    return !borrowed.isEmpty() && findFreeBorrowed(now, neededNanos).isPresent();
  }

  int freeBorrowedCount() {
    int count = 0;
    for (BorrowedSlot loan : borrowed) {
      count += loan.busy ? 0 : 1;
    }
    return count;
  }

  /** Ends the use of a borrowed slot; a lost request's slot is left to the end of its loan. */
  void releaseBorrowed(String lender, long loanId, boolean lost) {
    for (int i = 0; i < borrowed.size(); i++) {
      BorrowedSlot loan = borrowed.get(i);
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
  List<BorrowedSlot> removeIdleBorrowed() {
    List<BorrowedSlot> idle = new ArrayList<>();
    for (BorrowedSlot loan : borrowed) {
      if (!loan.busy) {
        idle.add(loan);
      }
    }
    borrowed.removeAll(idle);
    return idle;
  }

  void expireBorrowed(long now) {
    borrowed.removeIf(loan -> !loan.busy && loan.until - now <= 0);
  }

  int busyCount() {
    int count = 0;
    for (boolean slotBusy : busy) {
      count += slotBusy ? 1 : 0;
    }
    for (BorrowedSlot loan : borrowed) {
      count += loan.busy ? 1 : 0;
    }
    return count;
  }

  /** Tells whether anything is in use, lent or borrowed. */
  boolean isIdle(long now) {
    for (int slot = 0; slot < owned.length; slot++) {
      if (isInUse(slot, now)) {
        return false;
      }
    }
    return borrowed.isEmpty();
  }

  /** A slot that a peer lent. */
  static final class BorrowedSlot {
    final String lender;
    final SlotLoan loan;
    final long until;
    boolean busy;

    BorrowedSlot(String lender, SlotLoan loan, long until) {
      this.lender = lender;
      this.loan = loan;
      this.until = until;
    }
  }
}
