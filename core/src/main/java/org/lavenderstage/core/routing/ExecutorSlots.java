package org.lavenderstage.core.routing;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** One entry's view of the slots of one executor. */
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

  /** Sets whether this entry owns the slot; a slot that it does not own is no longer confirmed. */
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

  /** Returns whether a request or a borrower may still be using the slot. */
  boolean isInUse(int slot, long now) {
    return busy[slot] || blockedUntil[slot] - now > 0;
  }

  boolean isFree(int slot, long now) {
    return confirmed[slot] && !isInUse(slot, now);
  }

  /** Returns the index of a free slot, or -1 if there is none. */
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

  /** Ends a loan before it expires; the return of an earlier loan of the slot has no effect. */
  void endLoan(int slot, long loanId, long now) {
    if (loanIds[slot] == loanId && !busy[slot]) {
      loanIds[slot] = 0;
      blockedUntil[slot] = now;
    }
  }

  void addBorrowed(BorrowedSlot borrowedSlot) {
    borrowed.add(borrowedSlot);
  }

  Optional<BorrowedSlot> findFreeBorrowed(long now, long neededNanos) {
    for (BorrowedSlot borrowedSlot : borrowed) {
      if (!borrowedSlot.busy && borrowedSlot.until - now >= neededNanos) {
        return Optional.of(borrowedSlot);
      }
    }
    return Optional.empty();
  }

  boolean hasFreeBorrowed(long now, long neededNanos) {
    return !borrowed.isEmpty() && findFreeBorrowed(now, neededNanos).isPresent();
  }

  int freeBorrowedCount() {
    int count = 0;
    for (BorrowedSlot borrowedSlot : borrowed) {
      count += borrowedSlot.busy ? 0 : 1;
    }
    return count;
  }

  /** Releases a borrowed slot; the slot of a lost request is not used again during its loan. */
  void releaseBorrowed(String lender, long loanId, boolean lost) {
    for (int i = 0; i < borrowed.size(); i++) {
      BorrowedSlot borrowedSlot = borrowed.get(i);
      if (borrowedSlot.loan.id() == loanId && borrowedSlot.lender.equals(lender)) {
        borrowedSlot.busy = false;
        if (lost) {
          borrowed.remove(i);
        }
        return;
      }
    }
  }

  /** Removes and returns the idle borrowed slots, so that they can be returned to their lenders. */
  List<BorrowedSlot> removeIdleBorrowed() {
    List<BorrowedSlot> idle = new ArrayList<>();
    for (BorrowedSlot borrowedSlot : borrowed) {
      if (!borrowedSlot.busy) {
        idle.add(borrowedSlot);
      }
    }
    borrowed.removeAll(idle);
    return idle;
  }

  void expireBorrowed(long now) {
    borrowed.removeIf(borrowedSlot -> !borrowedSlot.busy && borrowedSlot.until - now <= 0);
  }

  int busyCount() {
    int count = 0;
    for (boolean slotBusy : busy) {
      count += slotBusy ? 1 : 0;
    }
    for (BorrowedSlot borrowedSlot : borrowed) {
      count += borrowedSlot.busy ? 1 : 0;
    }
    return count;
  }

  /** Returns whether no slot is in use, lent or borrowed. */
  boolean isIdle(long now) {
    for (int slot = 0; slot < owned.length; slot++) {
      if (isInUse(slot, now)) {
        return false;
      }
    }
    return borrowed.isEmpty();
  }

  /** A slot that a peer has lent to this entry. */
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
