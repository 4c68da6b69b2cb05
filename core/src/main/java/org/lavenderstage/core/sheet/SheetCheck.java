package org.lavenderstage.core.sheet;

import java.util.List;
import java.util.Optional;

/**
 * The result of checking a sheet.
 *
 * @param sheet the sheet, empty where there is any error
 * @param errors every error, in the order of the lines
 */
public record SheetCheck(Optional<Sheet> sheet, List<SheetError> errors) {
  /** Copies the errors. */
  public SheetCheck {
    errors = List.copyOf(errors);
  }
}
