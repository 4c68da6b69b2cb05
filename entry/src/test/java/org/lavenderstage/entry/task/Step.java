package org.lavenderstage.entry.task;

import java.util.Optional;
import org.lavenderstage.core.record.AttemptEnded;
import org.lavenderstage.core.record.CellClaimed;
import org.lavenderstage.core.record.LedgerRecord;
import org.lavenderstage.core.record.TaskPlaced;
import org.lavenderstage.core.task.OwnerAction;

/** A step of an owner's work at which a fault can be injected. */
enum Step {
  CLAIM,
  PLACE,
  START,
  RENEW,
  CHECKPOINT,
  END;

  static Optional<Step> of(OwnerAction action) {
    return switch (action) {
      case OwnerAction.Propose propose -> of(propose.record());
      case OwnerAction.Command command ->
          switch (command.verb()) {
            case START -> Optional.of(START);
            case RENEW -> Optional.of(RENEW);
            case CHECKPOINT -> Optional.of(CHECKPOINT);
            case STOP, THROTTLE, UNTHROTTLE -> Optional.empty();
          };
    };
  }

  private static Optional<Step> of(LedgerRecord record) {
    return switch (record) {
      case CellClaimed claimed -> Optional.of(CLAIM);
      case TaskPlaced placed -> Optional.of(PLACE);
      case AttemptEnded ended -> Optional.of(END);
      default -> Optional.empty();
    };
  }
}
