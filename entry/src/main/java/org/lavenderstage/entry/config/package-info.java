/** The sheet in force. */
package org.lavenderstage.entry.config;
