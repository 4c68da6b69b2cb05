/** Settings of the programs, generated from schema/settings.yaml, and their validation. */
package org.lavenderstage.wire.settings;
