package org.lavenderstage.entry.request;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Optional;
import org.lavenderstage.core.ledger.StateDigest;
import org.lavenderstage.core.sheet.Sheet;
import org.lavenderstage.core.sheet.WorkspaceRow;

/**
 * Checks bearer tokens against the digests of the sheet. The check takes the same time for an
 * unknown workspace as for a wrong token.
 */
public final class Authenticator {
  private static final String SCHEME = "Bearer ";
  private static final byte[] NO_DIGEST = bytes("0".repeat(64));

  private Authenticator() {}

  /**
   * Authenticates a caller as a workspace.
   *
   * @param sheet the sheet in force
   * @param workspace name of the workspace that the caller claims to be
   * @param authorization value of the Authorization header, empty if it is missing
   * @return the workspace, empty if it is unknown or the token is not its own
   */
  public static Optional<WorkspaceRow> authenticate(
      Sheet sheet, String workspace, String authorization) {
    if (!authorization.startsWith(SCHEME)) {
      return Optional.empty();
    }
    byte[] given = bytes(StateDigest.sha256Hex(authorization.substring(SCHEME.length())));
    Optional<WorkspaceRow> row = sheet.workspace(workspace);
    byte[] expected = row.map(workspaceRow -> bytes(workspaceRow.tokenSha256())).orElse(NO_DIGEST);
    return MessageDigest.isEqual(given, expected) ? row : Optional.empty();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
